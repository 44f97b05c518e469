package table

import (
	"context"
	"log/slog"
	"math"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

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
)

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
	// Partitioned tells that the table has partitions besides the empty one.
	Partitioned bool
	// Pace bounds how often changes are asked for; nil means no bound. Changes
	// that come meanwhile are told together by the next call.
	Pace *rate.Limiter
	// Peers are asked while the store does not answer; nil means none.
	Peers Peers
	// Upstream is followed in place of the store while it is in step; nil means
	// none.
	Upstream Upstream

	seen    Version
	askedAt time.Time
	lost    bool
	// directUntil is until when the store is followed although there is an
	// upstream.
	directUntil time.Time
	confirmed   atomic.Int64
	// readAt is when, in Unix nanoseconds, the store itself last answered.
	readAt atomic.Int64
	// settledAt is when, in Unix nanoseconds, the table holds again all that
	// belongs there after the store was away.
	settledAt atomic.Int64
}

// returnTime is how long those that keep entries in a table need to write them
// again after the store was away: about two seconds by the platform's word, and
// short of the two after which a back end that has left must get nothing.
const returnTime = 1800 * time.Millisecond

// IsSettled reports whether a row that is missing is gone: not while the store
// is away, nor just after its return, since rows may have lapsed meanwhile.
func (f *Follower) IsSettled() bool { return time.Now().UnixNano() >= f.settledAt.Load() }

// ConfirmedAt returns when the table, as it was handed on, was last known to be
// the present state: by an answer of the store, or of a daemon that had one.
func (f *Follower) ConfirmedAt() time.Time { return time.Unix(0, f.confirmed.Load()) }

// ReadAt returns when the store itself last answered a call on the table.
func (f *Follower) ReadAt() time.Time { return time.Unix(0, f.readAt.Load()) }

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) {
	inStep := false
	for ctx.Err() == nil {
		if f.pace(ctx) != nil {
			return // the context ends
		}
		if f.followUpstream(ctx) {
			inStep = true
			continue
		}
		var err error
		if inStep {
			err = f.watch(ctx)
		} else {
			inStep, err = f.read(ctx)
		}
		f.note(err)
		if isCompacted(err) {
			inStep = false
		}
		if err != nil {
			inStep = f.askPeers(ctx) || inStep
			periodic.SleepAbout(ctx, retryPause)
		}
	}
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
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	held, found := f.Peers.Newer(bounded, f.Table, f.seen)
	if !found {
		return false
	}
	isTaken := held.IsNewer && held.Version > f.seen
	if isTaken {
		f.Consumer.Replace(held.Rows, held.Version)
		f.Logger.Info("table_from_peer", "table", f.Table, "version", held.Version, "version_before", f.seen, "rows", len(held.Rows), "age_ms", held.Age.Milliseconds())
		f.seen = held.Version
	}
	f.noteConfirmed(held.Age)
	return isTaken
}

// noteConfirmed notes that the table was the present state so long ago.
func (f *Follower) noteConfirmed(age time.Duration) {
	at := time.Now().Add(-age).UnixNano()
	if at > f.confirmed.Load() {
		f.confirmed.Store(at)
	}
}

// noteStore notes an answer of the store itself.
func (f *Follower) noteStore() {
	f.readAt.Store(time.Now().UnixNano())
	f.noteConfirmed(0)
	f.note(nil)
}

// note logs the loss and the return of the store for this table.
func (f *Follower) note(err error) {
	isLost := err != nil && !isCompacted(err)
	if isLost == f.lost {
		return
	}
	f.lost = isLost
	if isLost {
		f.settledAt.Store(math.MaxInt64)
		f.Logger.Warn("table_lost", "table", f.Table, "version", f.seen, "error", err)
		return
	}
	f.settledAt.Store(time.Now().Add(returnTime).UnixNano())
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
	changes, err := f.Store.Watch(bounded, f.Table, f.seen, wait)
	if err != nil {
		return err
	}
	if changes.Version < f.seen {
		return &Error{Kind: ErrorCompacted, Call: "watch"}
	}
	f.noteStore()
	f.Consumer.Change(changes.Rows, changes.Version)
	f.seen = changes.Version
	return nil
}

// read reads the whole table. A state older than what was seen is refused. The
// version is that of a read before the partitions are listed, so that changes
// made meanwhile are seen again as changes.
func (f *Follower) read(ctx context.Context) (bool, error) {
	all, version, err := f.readPartition(ctx, "")
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
	f.noteStore()
	f.Consumer.Replace(all, version)
	f.seen = version
	f.Logger.Info("table_read", "table", f.Table, "version", version, "rows", len(all))
	return true, nil
}

// readPartitions reads all partitions with a name; none may be older than the
// version.
func (f *Follower) readPartitions(ctx context.Context, atLeast Version) ([]Row, error) {
	partitions, err := f.partitions(ctx)
	if err != nil {
		return nil, err
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
