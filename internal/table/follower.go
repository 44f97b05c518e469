package table

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"topazpulley/internal/boottime"
	"topazpulley/internal/periodic"
)

const (
	// retryPause is the mean pause after a failed call.
	retryPause    = 100 * time.Millisecond
	pageRows      = 500
	answerReserve = 700 * time.Millisecond
	readTimeout   = time.Second
	// askInterval is the shortest time between two questions to peers.
	askInterval = 400 * time.Millisecond
	// fewPartitions are read whatever the size of the fleet.
	fewPartitions = 8
)

// errDeferred tells that a read waits for an upstream.
var errDeferred = &Error{Kind: ErrorNotDone, Call: "deferred_read"}

// Consumer receives the rows of a followed table. Calls come from one
// goroutine.
type Consumer interface {
	// Replace receives all rows as of a version.
	Replace(rows []Row, version Version)
	// Change receives changed rows in order, or none when only the version rose.
	Change(rows []Row, version Version)
}

// Follower keeps a consumer in step with one table. What it hands on never
// goes back: a read older than what was seen is dropped and repeated.
type Follower struct {
	Store    Store
	Table    string
	Consumer Consumer
	Logger   *slog.Logger
	// Wait is how long one watch call may be held.
	Wait time.Duration
	// RelayWait is how long one call to an upstream may be held; 0 means Wait. What an
	// upstream tells may be as old as a call of its own.
	RelayWait time.Duration
	// Partitioned tells that the table has partitions besides the empty one.
	Partitioned bool
	// Pace bounds how often changes are asked for; nil means no bound. Changes
	// that come meanwhile are told together by the next call.
	Pace *rate.Limiter
	// Plan decides how much of a large table is kept; nil means all. Partitioned must not
	// be set beside it, and Part must be the Consumer.
	Plan SectionPlan
	Part SectionConsumer
	// Deferred returns for how long a read of many partitions, a call each, waits for an
	// upstream before it is tried again, 0 if it does not wait; nil means that it does not.
	Deferred func() time.Duration
	// Peers are asked while the store does not answer; nil means none.
	Peers Peers
	// Upstream is followed in place of the store while it is in step; nil means
	// none.
	Upstream Upstream
	// Clock is the system's if it is nil.
	Clock boottime.Clock

	// hasManyPartitions tells that more than fewPartitions were listed.
	hasManyPartitions bool

	seen    Version
	space   Keyspace
	section atomic.Pointer[held]
	// resizeAfter is when more or less of the table may be read again.
	resizeAfter time.Time
	// isUnconfirmed tells that the table was read since the last watch.
	isUnconfirmed bool
	askedAt       time.Time
	lost          bool
	// directUntil is until when the store is followed although there is an
	// upstream.
	directUntil time.Time
	// upstreamFailedAt is when the upstream last failed.
	upstreamFailedAt time.Time
	// confirmed is the moment, as a boottime.Instant, at which the table as it was
	// handed on was certainly the present state; told is the same by the store's own
	// answers alone. Zero means never.
	confirmed atomic.Int64
	told      atomic.Int64
	// settling is nil until the store was away for the first time.
	settling atomic.Pointer[settling]
}

// Age returns for how long the table, as it was handed on, may not have been the
// present state, by answers of the store or of a daemon that had one. It is never
// too short: it counts from a moment before the answer was made, and goes on while
// the machine sleeps.
func (f *Follower) Age() time.Duration { return f.since(f.confirmed.Load()) }

// StoreAge is Age by the store's own answers alone.
func (f *Follower) StoreAge() time.Duration { return f.since(f.told.Load()) }

// ConfirmedAt returns when the table, as it was handed on, was certainly the
// present state.
func (f *Follower) ConfirmedAt() time.Time { return time.Now().Add(-f.Age()) }

// never is the age, a century, of a table of which nothing was told.
const never = 100 * 365 * 24 * time.Hour

func (f *Follower) since(instant int64) time.Duration {
	if instant == 0 {
		return never
	}
	return f.Now().Sub(boottime.Instant(instant))
}

// Now is the present moment by the follower's clock.
func (f *Follower) Now() boottime.Instant {
	if f.Clock == nil {
		return boottime.Now()
	}
	return f.Clock()
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	inStep := false
	for ctx.Err() == nil {
		if f.pace(ctx) != nil {
			return // the context ends
		}
		f.resize(ctx, inStep)
		// What an upstream tells of a section needs one to begin with.
		if (inStep || f.Plan == nil) && f.followUpstream(ctx) {
			inStep = true
			continue
		}
		var err error
		switch {
		case inStep:
			err = f.watch(ctx)
		case f.isDeferred():
			err = errDeferred
		default:
			inStep, err = f.read(ctx)
		}
		if errors.Is(err, errDeferred) {
			periodic.Sleep(ctx, f.Deferred())
			continue
		}
		f.note(err)
		if isCompacted(err) {
			inStep = false
		}
		if err != nil {
			inStep = f.askPeers(ctx) || inStep
			f.tryUpstreamSoon()
			periodic.SleepAbout(ctx, retryPause)
		}
	}
}

// isDeferred reports whether a read of many partitions waits for an upstream.
func (f *Follower) isDeferred() bool {
	return f.hasManyPartitions && f.Deferred != nil && f.Deferred() > 0
}

// pace waits until changes may be asked for again.
func (f *Follower) pace(ctx context.Context) error {
	if f.Pace == nil {
		return nil
	}
	return errors.WithStack(f.Pace.Wait(ctx))
}

// askPeers takes another daemon's copy of the table if it is newer, and reports
// whether it did. All versions come from the store's one counter, so that a
// newer copy is never a step back.
func (f *Follower) askPeers(ctx context.Context) bool {
	if f.Peers == nil || !f.lost || time.Since(f.askedAt) < askInterval {
		return false
	}
	f.askedAt = time.Now()
	started := f.Now()
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	held, found := f.copyOfPeer(bounded)
	if !found {
		return false
	}
	isTaken := held.IsNewer && held.Version > f.seen
	if isTaken {
		if f.Plan != nil {
			f.setSection(heldSection(held))
		}
		f.Consumer.Replace(held.Rows, held.Version)
		f.Logger.Info("table_from_peer", "table", f.Table, "version", held.Version, "version_before", f.seen, "rows", len(held.Rows), "age_ms", held.Age.Milliseconds())
		f.seen = held.Version
	}
	f.noteConfirmed(started.Add(-held.Age))
	return isTaken
}

// copyOfPeer asks for another daemon's copy. One of a section serves a follower that has
// nothing yet: any section is as good as its own.
func (f *Follower) copyOfPeer(ctx context.Context) (PeerCopy, bool) {
	section, _, _ := f.Section()
	switch {
	case f.Plan == nil:
		return f.Peers.Newer(ctx, f.Table, f.seen)
	case section.IsPart:
		return PeerCopy{}, false
	}
	found, isFound := f.Peers.NewerPart(ctx, f.Table, f.seen)
	if !isFound {
		return f.Peers.Newer(ctx, f.Table, f.seen)
	}
	return found, true
}

// noteConfirmed notes a moment at which the table, as it was handed on, was the
// present state. It is called behind the consumer, never before: who asks for the
// age must find at least what it speaks of.
func (f *Follower) noteConfirmed(at boottime.Instant) {
	if int64(at) > f.confirmed.Load() {
		f.confirmed.Store(int64(at))
	}
}

// noteStore is noteConfirmed for an answer of the store itself.
func (f *Follower) noteStore(at boottime.Instant) {
	f.told.Store(int64(at))
	f.noteConfirmed(at)
}

// note logs the loss and the return of the store for this table.
func (f *Follower) note(err error) {
	isLost := err != nil && !isCompacted(err)
	if isLost == f.lost {
		return
	}
	f.lost = isLost
	if isLost {
		f.settling.Store(&settling{isAway: true})
		f.Logger.Warn("table_lost", "table", f.Table, "version", f.seen, "error", err)
		return
	}
	f.settle()
	f.Logger.Info("table_regained", "table", f.Table, "version", f.seen)
}

func isCompacted(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Kind == ErrorCompacted
}

// watch waits for changes once.
func (f *Follower) watch(ctx context.Context) error {
	wait := f.Wait
	if f.Upstream != nil && f.Upstream.Serves() {
		wait = min(wait, servingWait)
	}
	bounded, cancel := context.WithTimeout(ctx, wait+answerReserve)
	defer cancel()
	if f.isUnconfirmed || (f.Upstream != nil && f.StoreAge() > servingWait && f.Upstream.Serves()) {
		// It confirms the read, or what is told to followers that have just come.
		wait = 0
	}
	started := f.Now()
	changes, err := f.Store.Watch(bounded, f.Table, f.seen, wait)
	if err != nil {
		return err
	}
	if changes.Version < f.seen {
		return &Error{Kind: ErrorCompacted, Call: "watch"}
	}
	f.note(nil)
	f.Consumer.Change(changes.Rows, changes.Version)
	f.seen, f.isUnconfirmed = changes.Version, false
	f.noteStore(max(started, changes.AsOf))
	return nil
}

// read reads the whole table. A state older than what was seen is refused; one that is
// as old may lie behind, for three seconds while the store forgets its history, so that
// only the next watch, which goes on from it, confirms the present state. The
// version is that of a read before the partitions are listed, so that changes
// made meanwhile are seen again as changes.
func (f *Follower) read(ctx context.Context) (bool, error) {
	all, version, section, err := f.readUnpartitioned(ctx)
	if err != nil {
		return false, err
	}
	if version < f.seen {
		return false, &Error{Kind: ErrorNotDone, Call: "stale_read"}
	}
	if f.Partitioned {
		partitioned, err := f.readPartitions(ctx, version)
		if err != nil {
			return false, err
		}
		all = append(all, partitioned...)
	}
	f.note(nil)
	if f.Plan != nil {
		f.setSection(section)
	}
	f.Consumer.Replace(all, version)
	f.seen, f.isUnconfirmed = version, true
	f.Logger.Info("table_read", "table", f.Table, "version", version, "rows", len(all), "is_part", section.IsPart, "width", section.width)
	return true, nil
}

// readUnpartitioned reads the partition without a name, or what is kept of it.
func (f *Follower) readUnpartitioned(ctx context.Context) ([]Row, Version, held, error) {
	if f.Plan == nil {
		rows, version, err := f.readPartition(ctx, "")
		return rows, version, held{width: 1}, err
	}
	made, err := f.readSection(ctx)
	if err != nil {
		return nil, 0, held{}, err
	}
	return made.rows, made.version, made.held, nil
}

// readPartitions reads all partitions with a name; none may be older than the
// version.
func (f *Follower) readPartitions(ctx context.Context, atLeast Version) ([]Row, error) {
	partitions, err := f.partitions(ctx)
	if err != nil {
		return nil, err
	}
	f.hasManyPartitions = len(partitions) > fewPartitions
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
			return nil, &Error{Kind: ErrorNotDone, Call: "stale_read"}
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
		if !more || len(page) == 0 {
			return all, nil
		}
		after = page[len(page)-1]
	}
}

// readPartition reads all rows of a partition; the version is that of its
// first page, so that changes made meanwhile are seen again.
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
		if !page.More || len(page.Rows) == 0 {
			return rows, version, nil
		}
		from = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
}
