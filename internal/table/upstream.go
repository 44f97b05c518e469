package table

import (
	"cmp"
	"context"
	"time"
)

// RelayedChanges are changes of a table as another daemon tells them, which
// follows the table at the store.
type RelayedChanges struct {
	Changes
	// IsWhole tells that Rows are the whole table and not what changed.
	IsWhole bool
	// IsSettled tells that a row which is missing is gone, as far as the other
	// daemon knows.
	IsSettled bool
	// IsPart tells that Rows are the changes of the section alone.
	IsPart bool
	// Age is for how long, when the call came, the other daemon's copy may not have
	// been the present state, by the store's own answers. It is negative if the copy
	// was confirmed while the call was held.
	Age time.Duration
}

// Upstream is a daemon that follows tables at the store for others. In a large
// fleet most daemons follow an upstream, so that the store is asked by a few.
type Upstream interface {
	// Changes returns the changes of a section of a table behind a version as soon as there
	// are any, or none when the wait is over. It reports false when this daemon
	// should follow the store itself. An error tells that the upstream cannot be
	// reached or does not know the present state of the store.
	Changes(ctx context.Context, table string, section Section, after Version, wait time.Duration) (RelayedChanges, bool, error)
	// Serves reports whether this daemon is an upstream of others.
	Serves() bool
}

const (
	// upstreamReserve is how long an answer of an upstream may take beyond the
	// wait: a call within a zone and a turn of a slow machine.
	upstreamReserve = 400 * time.Millisecond
	// directTime is how long a daemon follows the store itself after its
	// upstream failed.
	directTime = 2 * time.Second
	// upstreamRetry is the same while the store does not serve it, or when the upstream
	// answered at once, within quickFailure, that it cannot tell: another one may.
	upstreamRetry = 600 * time.Millisecond
	quickFailure  = 100 * time.Millisecond
	// servingWait is how long one watch call of an upstream is held: half of the
	// age at which its copy is no longer told to others (frontend's
	// upstreamAge).
	servingWait = 750 * time.Millisecond
)

// followUpstream follows the upstream once. It reports false when the store
// itself should be followed now.
func (f *Follower) followUpstream(ctx context.Context) bool {
	if f.Upstream == nil || time.Now().Before(f.directUntil) {
		return false
	}
	wait := cmp.Or(f.RelayWait, f.Wait)
	bounded, cancel := context.WithTimeout(ctx, wait+upstreamReserve)
	defer cancel()
	started := f.Now()
	section, _, _ := f.Section()
	told, isFollowed, err := f.Upstream.Changes(bounded, f.Table, section, f.seen, wait)
	if !isFollowed || ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.upstreamFailedAt = time.Now()
		f.directUntil = f.upstreamFailedAt.Add(directTime)
		if f.Now().Sub(started) < quickFailure {
			f.directUntil = f.upstreamFailedAt.Add(upstreamRetry)
		}
		f.Logger.Info("table_upstream_lost", "table", f.Table, "version", f.seen, "error", err)
		return false
	}
	f.take(told)
	f.noteConfirmed(started.Add(-told.Age))
	return true
}

// tryUpstreamSoon has the upstream asked again although it has just failed: the store does
// not serve this daemon either.
func (f *Follower) tryUpstreamSoon() {
	soon := f.upstreamFailedAt.Add(upstreamRetry)
	if soon.Before(f.directUntil) {
		f.directUntil = soon
	}
}

// take hands on what an upstream told. An upstream that lies behind what was
// read from the store before has no news.
func (f *Follower) take(told RelayedChanges) {
	f.note(nil)
	if told.Version <= f.seen {
		return
	}
	if !told.IsSettled {
		f.settle()
	}
	switch {
	case told.IsPart:
		f.Part.ChangePart(told.Rows, told.Version)
	case told.IsWhole:
		f.Consumer.Replace(told.Rows, told.Version)
		f.Logger.Info("table_from_upstream", "table", f.Table, "version", told.Version, "version_before", f.seen, "rows", len(told.Rows))
	default:
		f.Consumer.Change(told.Rows, told.Version)
	}
	f.seen = told.Version
}
