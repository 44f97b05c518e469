package table

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"topazpulley/internal/boottime"
	"topazpulley/internal/coalesce"
	"topazpulley/internal/periodic"
)

const (
	// retryPause is the mean pause after a failed call.
	retryPause = 100 * time.Millisecond
	// pageRows is the page size for reads of a partition.
	pageRows = 500
	// answerReserve is how long the answer to a watch may take beyond its wait.
	answerReserve = 700 * time.Millisecond
	readTimeout   = time.Second
	// deferThreshold is the number of partitions up to which a read is never deferred.
	deferThreshold = 8
)

// errDeferred means that a read was deferred because an upstream may provide the table.
var errDeferred = &Error{Kind: ErrorNotDone, Call: "deferred_read"}

// errStaleRead means that the store returned an older state than the one seen.
var errStaleRead = &Error{Kind: ErrorNotDone, Call: "stale_read"}

// Consumer receives the rows of a followed table. There is one call at a time.
type Consumer interface {
	// Replace receives all rows as of a version.
	Replace(rows []Row, version Version)
	// Change receives changed rows in order, or none if only the version increased.
	Change(rows []Row, version Version)
}

// Follower keeps a consumer up to date with one table. It follows one source at a time, an
// upstream or the store, and asks peers beside it once the rows have not been confirmed for
// longer than that source needs while it answers. Versions passed to the consumer never
// decrease: an older read is dropped and repeated.
type Follower struct {
	Store    Store
	Table    string
	Consumer Consumer
	Logger   *slog.Logger
	// Wait is how long one watch call may wait for changes.
	Wait time.Duration
	// RelayWait is how long one call to an upstream may wait for changes; 0 means Wait.
	// An upstream's data may be as old as its own last call.
	RelayWait time.Duration
	// Partitioned is set if the table has named partitions besides the unnamed one.
	Partitioned bool
	// Pace limits the rate of calls for changes; nil means no limit. Changes made
	// meanwhile are returned together by the next call.
	Pace *rate.Limiter
	// BytesPerSecond limits the rate of rows received; 0 means no limit. After large rows the next
	// call for changes is delayed by up to maxTransferTime.
	BytesPerSecond int
	// Plan decides which section of a large table is kept; nil means all of it. If it is
	// set, Partitioned must be false and Part must be the same object as Consumer.
	Plan SectionPlan
	Part SectionConsumer
	// Deferred returns how long a read of many partitions (one call each) is deferred in
	// favor of an upstream, or 0 if it isn't. nil means never.
	Deferred func() time.Duration
	// Peers are queried when the table is out of date; nil means none.
	Peers Peers
	// Upstream is followed instead of the store while it is up to date; nil means
	// none.
	Upstream Upstream
	// History is restarted by the consumer at each gap in the changes; nil means that nobody
	// asks for it.
	History *History
	// Trait returns that of a row for which its past values count in the history; nil means the
	// value itself.
	Trait func(row Row) string
	// Bounds are the times by which missing rows are judged; zero takes them for removed ones.
	Bounds AbsenceBounds
	// Clock is the clock for ages; nil means the system's.
	Clock boottime.Clock

	// hasManyPartitions is set if the last listing had more than deferThreshold partitions.
	hasManyPartitions bool

	// delivery serializes the calls of the consumer. It guards seen, removedRows, awayAt and unanswered.
	delivery sync.Mutex
	// removedRows is the number of rows removed from the table since it was read last.
	removedRows int
	// seen is the version that the consumer received last.
	seen Version
	// awayAt is the last time at which the store was known to be away; zero if it never was.
	awayAt boottime.Instant
	// unanswered are the last calls that the store refused or did not answer, in order.
	unanswered []unansweredCall
	// isSynced is set once the consumer has all rows, until the changes after seen are lost.
	isSynced atomic.Bool

	keyspace Keyspace
	section  atomic.Pointer[keptSection]
	// resizeAfter is the earliest time of the next resize, and shrunkAfter that of the next one
	// because the table has shrunk, shrunkPause after the last one.
	resizeAfter time.Time
	shrunkAfter time.Time
	shrunkPause time.Duration
	// isUnconfirmed is set if the table was read, or a call was not answered, since the last watch.
	isUnconfirmed bool
	isStoreLost   atomic.Bool
	// announced is the highest version that was announced to this daemon, and wakeup is
	// signaled when it rises or the store is lost.
	announced  HighestVersion
	wakeup     chan struct{}
	wakeupOnce sync.Once
	transfer   transfer
	// directUntil is the time until which the store is followed although an upstream
	// is set.
	directUntil time.Time
	// upstreamFailedAt is when the upstream last failed.
	upstreamFailedAt time.Time
	// confirmed is the latest boottime.Instant at which the consumer's version was
	// known to be current. storeConfirmed is the same, by direct answers of the store
	// only. Zero means never.
	confirmed      atomic.Int64
	storeConfirmed atomic.Int64
	// answered is the latest boottime.Instant at which the store is known to have answered any daemon.
	answered atomic.Int64
	// grace is that of the rows that the consumer received last, and outageGrace that of the last
	// outage of the store; nil for none.
	grace, outageGrace atomic.Pointer[Grace]
	origin             atomic.Pointer[Origin]

	// confirmation shares the calls of Confirm.
	confirmation coalesce.Group[bool]
	// isReadingHistory is set while readHistory runs.
	isReadingHistory atomic.Bool
}

// Age returns an upper bound of how long the consumer's version may have been out of
// date, by answers of the store or of other daemons. It counts from before the last
// answer was made and includes time in which the machine was suspended.
func (f *Follower) Age() time.Duration { return f.since(f.confirmed.Load()) }

// StoreAge is Age by direct answers of the store only.
func (f *Follower) StoreAge() time.Duration { return f.since(f.storeConfirmed.Load()) }

// ConfirmedAt returns the latest time at which the consumer's version was known to be
// current.
func (f *Follower) ConfirmedAt() time.Time { return time.Now().Add(-f.Age()) }

// unknownAge is the age of a table that was never confirmed.
const unknownAge = 100 * 365 * 24 * time.Hour

func (f *Follower) since(instant int64) time.Duration {
	if instant == 0 {
		return unknownAge
	}
	return f.Now().Sub(boottime.Instant(instant))
}

// Now returns the current time by the follower's clock.
func (f *Follower) Now() boottime.Instant {
	if f.Clock == nil {
		return boottime.Now()
	}
	return f.Clock()
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var beside sync.WaitGroup
	beside.Go(func() { f.refreshUntilDone(ctx) })
	defer beside.Wait()
	for ctx.Err() == nil {
		if f.pace(ctx) != nil {
			return // the context ends
		}
		f.resize(ctx)
		// With a plan, an upstream can be followed only once a section is kept.
		if (f.isSynced.Load() || f.Plan == nil) && f.followUpstream(ctx) {
			f.isSynced.Store(true)
			continue
		}
		var err error
		started := f.Now()
		switch {
		case f.isSynced.Load():
			err = f.watch(ctx)
		case f.isDeferred():
			err = errDeferred
		default:
			err = f.read(ctx, started)
			if err == nil {
				beside.Go(func() { f.readHistory(ctx) })
			}
		}
		if errors.Is(err, errDeferred) {
			periodic.Sleep(ctx, f.Deferred())
			continue
		}
		f.recordCall(err, started)
		f.recordResult(err)
		if isCompacted(err) {
			f.isSynced.Store(false)
		}
		if err != nil {
			f.retryUpstreamSoon()
			periodic.SleepAbout(ctx, retryPause)
		}
	}
}

// isDeferred reports whether a read of many partitions is deferred in favor of an upstream.
func (f *Follower) isDeferred() bool {
	return f.hasManyPartitions && f.Deferred != nil && f.Deferred() > 0
}

// pace waits until the rate limits allow another call.
func (f *Follower) pace(ctx context.Context) error {
	if pause := f.transfer.remaining(time.Now()); pause > 0 && !periodic.Sleep(ctx, pause) {
		return errors.WithStack(ctx.Err())
	}
	if f.Pace == nil {
		return nil
	}
	return errors.WithStack(f.Pace.Wait(ctx))
}

// recordConfirmed records a time at which the consumer's version was current. It must be
// called after the consumer has received that version, so that Age is never less than the
// age of the consumer's rows. delivery must be held.
func (f *Follower) recordConfirmed(at boottime.Instant) {
	f.recordAnswered(at)
	if int64(at) > f.confirmed.Load() {
		f.confirmed.Store(int64(at))
	}
}

// recordStoreAnswer is recordConfirmed for a direct answer of the store.
func (f *Follower) recordStoreAnswer(at boottime.Instant) {
	if int64(at) > f.storeConfirmed.Load() {
		f.storeConfirmed.Store(int64(at))
	}
	f.recordConfirmed(at)
}

// recordResult updates the state from the result of a call and logs when the store stops
// or resumes answering for this table.
func (f *Follower) recordResult(err error) {
	isLost := err != nil && !isCompacted(err)
	if isLost == f.isStoreLost.Load() {
		return
	}
	f.isStoreLost.Store(isLost)
	if isLost {
		f.wakeRefresh()
		f.Logger.Warn("table_lost", "table", f.Table, "version", f.seenVersion(), "error", err)
		return
	}
	f.Logger.Info("table_regained", "table", f.Table, "version", f.seenVersion())
}

func isCompacted(err error) bool { return IsKind(err, ErrorCompacted) }

// watch makes one watch call and passes the changes on.
func (f *Follower) watch(ctx context.Context) error {
	wait := f.Wait
	if f.Upstream != nil && f.Upstream.Serves() {
		wait = min(wait, servingWait)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+answerReserve)
	defer cancel()
	if f.isUnconfirmed || (f.Upstream != nil && f.StoreAge() > servingWait && f.Upstream.Serves()) {
		// Confirm the read, or this upstream's data for its new followers, without waiting.
		wait = 0
	}
	started, after := f.Now(), f.seenVersion()
	changes, err := f.Store.Watch(bounded, f.Table, after, wait)
	if err != nil {
		return err
	}
	if changes.Version < after {
		return &Error{Kind: ErrorCompacted, Call: "watch"}
	}
	f.recordResult(nil)
	f.isUnconfirmed = false
	f.applyChanges(changes, started)
	return nil
}

// applyChanges passes on the answer of the store to a call that was started at an instant.
func (f *Follower) applyChanges(changes Changes, started boottime.Instant) {
	f.delivery.Lock()
	defer f.delivery.Unlock()
	madeAt := max(started, changes.AsOf)
	if changes.Version >= f.seen {
		f.receiveFrom(SourceStore, "", changes.Rows)
		f.giveGrace(madeAt, DoubtNone)
		f.passChanges(newerThan(changes.Rows, f.seen), changes.Version)
		f.seen = changes.Version
	}
	f.recordStoreAnswer(madeAt)
}

// seenVersion returns the version that the consumer received last.
func (f *Follower) seenVersion() Version {
	f.delivery.Lock()
	defer f.delivery.Unlock()
	return f.seen
}

// newerThan returns the rows after a version. Another source may have sent the others meanwhile.
func newerThan(rows []Row, version Version) []Row {
	isSeen := func(row Row) bool { return row.Version <= version }
	if !slices.ContainsFunc(rows, isSeen) {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), isSeen)
}

// read reads the entire table, or its section. A state older than the version seen is
// rejected. A state of the same version may be stale, because the store can serve stale
// reads for 3 s after a compaction; only the next watch confirms it. The version is that
// of a read before the partitions are listed, so that later changes are returned by the
// next watch. started is when the read began.
func (f *Follower) read(ctx context.Context, started boottime.Instant) error {
	all, version, section, err := f.readUnpartitioned(ctx)
	if err != nil {
		return err
	}
	if version < f.seenVersion() {
		return errStaleRead
	}
	if f.Partitioned {
		partitioned, err := f.readPartitions(ctx, version)
		if err != nil {
			return err
		}
		all = append(all, partitioned...)
	}
	f.recordResult(nil)
	f.delivery.Lock()
	defer f.delivery.Unlock()
	if version < f.seen {
		return errStaleRead
	}
	if f.Plan != nil {
		f.setSection(section)
		f.removedRows = 0
	}
	f.receiveFrom(SourceStore, "", all)
	f.giveGrace(started, DoubtNone)
	f.Consumer.Replace(all, version)
	f.seen, f.isUnconfirmed = version, true
	f.isSynced.Store(true)
	f.Logger.Info("table_read", "table", f.Table, "version", version, "rows", len(all), "is_part", section.IsPart, "width", section.width)
	return nil
}

// readUnpartitioned reads the unnamed partition, or the section of it that the plan selects.
func (f *Follower) readUnpartitioned(ctx context.Context) ([]Row, Version, keptSection, error) {
	if f.Plan == nil {
		rows, version, err := f.readPartition(ctx, "")
		return rows, version, keptSection{width: 1}, err
	}
	made, err := f.readSection(ctx)
	if err != nil {
		return nil, 0, keptSection{}, err
	}
	return made.rows, made.version, made.kept, nil
}

// readPartitions reads all named partitions. A partition older than atLeast is an error.
func (f *Follower) readPartitions(ctx context.Context, atLeast Version) ([]Row, error) {
	partitions, err := f.partitions(ctx)
	if err != nil {
		return nil, err
	}
	f.hasManyPartitions = len(partitions) > deferThreshold
	if f.isDeferred() {
		return nil, errDeferred
	}
	all := []Row{}
	for _, partition := range partitions {
		if partition == "" {
			continue
		}
		rows, version, err := f.readPartition(ctx, partition)
		if err != nil {
			return nil, err
		}
		if version < atLeast {
			return nil, errStaleRead
		}
		all = append(all, rows...)
	}
	return all, nil
}

func (f *Follower) partitions(ctx context.Context) ([]string, error) {
	all := []string{}
	after := ""
	for {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		page, more, err := f.Store.Partitions(bounded, f.Table, after)
		cancel()
		if err != nil {
			return nil, err
		}
		all = append(all, page...)
		next, hasMore, err := NextName(page, more, after)
		if err != nil {
			return nil, err
		}
		if !hasMore {
			return all, nil
		}
		after = next
	}
}

// readPartition reads all rows of a partition. The version is that of the first page, so
// that changes during the read are returned by the next watch.
func (f *Follower) readPartition(ctx context.Context, partition string) ([]Row, Version, error) {
	rows := []Row{}
	version := Version(-1)
	from := ""
	for {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := f.Store.Read(bounded, Range{Table: f.Table, Partition: partition, From: from, Limit: pageRows})
		cancel()
		if err != nil {
			return nil, 0, err
		}
		if version < 0 {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		next, more, err := page.Next(from)
		if err != nil {
			return nil, 0, err
		}
		if !more {
			return rows, version, nil
		}
		from = next
	}
}
