package table

import (
	"cmp"
	"context"
	"time"

	"topazpulley/internal/boottime"
)

// RelayedChanges are changes of a table received from an upstream.
type RelayedChanges struct {
	Changes
	// Daemon is the upstream's address, also if it did not answer.
	Daemon string
	// IsWhole is set if Rows are the entire table, not only changes.
	IsWhole bool
	// IsSettled is the upstream's Follower.IsSettled.
	IsSettled bool
	// IsPart is set if Rows are only the changes in the section.
	IsPart bool
	// Age is the upstream's Follower.StoreAge relative to the start of the call. It is
	// negative if the copy was confirmed during the call.
	Age time.Duration
}

// Upstream is a daemon that follows tables at the store and relays them to others. In a
// large fleet most daemons follow an upstream, to reduce the calls to the store.
type Upstream interface {
	// Changes returns the changes in a section of a table after a version as soon as there
	// are any, or none after the wait. It reports false if this daemon should follow the
	// store directly. An error means that the upstream cannot be reached or isn't up to
	// date with the store.
	Changes(ctx context.Context, table string, section Section, after Version, wait time.Duration) (RelayedChanges, bool, error)
	// Serves reports whether this daemon is an upstream for others.
	Serves() bool
}

const (
	// upstreamReserve is how long an answer of an upstream may take beyond the wait.
	upstreamReserve = 400 * time.Millisecond
	// directTime is how long a daemon follows the store directly after its upstream
	// failed.
	directTime = 2 * time.Second
	// upstreamRetry replaces directTime while the store does not serve this daemon, or
	// if the upstream failed within quickFailure.
	upstreamRetry = 600 * time.Millisecond
	quickFailure  = 100 * time.Millisecond
	// servingWait is the maximum wait of an upstream's watch calls: half of the age at
	// which its copy is no longer relayed (frontend's upstreamAge).
	servingWait = 750 * time.Millisecond
)

// followUpstream makes one call to the upstream. It reports false if the store should be
// followed directly now.
func (f *Follower) followUpstream(ctx context.Context) bool {
	if f.Upstream == nil || time.Now().Before(f.directUntil) {
		return false
	}
	wait := cmp.Or(f.RelayWait, f.Wait)
	bounded, cancel := context.WithTimeout(ctx, wait+upstreamReserve)
	defer cancel()
	started := f.Now()
	section, _, _ := f.Section()
	relayed, isFollowed, err := f.Upstream.Changes(bounded, f.Table, section, f.seenVersion(), wait)
	if !isFollowed || ctx.Err() != nil {
		return false
	}
	if err != nil {
		f.upstreamFailedAt = time.Now()
		f.directUntil = f.upstreamFailedAt.Add(directTime)
		if f.Now().Sub(started) < quickFailure {
			f.directUntil = f.upstreamFailedAt.Add(upstreamRetry)
		}
		f.Logger.Info("table_upstream_lost", "table", f.Table, "version", f.seenVersion(), "upstream", relayed.Daemon, "waited_ms", f.Now().Sub(started).Milliseconds(),
			"unconfirmed_ms", f.Age().Milliseconds(), "error", err)
		return false
	}
	f.recordResult(nil)
	f.delivery.Lock()
	defer f.delivery.Unlock()
	currentAt := started.Add(-relayed.Age)
	f.applyRelayed(relayed, currentAt)
	f.recordConfirmed(currentAt)
	return true
}

// retryUpstreamSoon shortens the time until the next call to a failed upstream, because the
// store does not serve this daemon either.
func (f *Follower) retryUpstreamSoon() {
	soon := f.upstreamFailedAt.Add(upstreamRetry)
	if soon.Before(f.directUntil) {
		f.directUntil = soon
	}
}

// applyRelayed passes changes from an upstream to the consumer. Changes up to the version
// seen are ignored. The changes were current at currentAt. delivery must be held.
func (f *Follower) applyRelayed(relayed RelayedChanges, currentAt boottime.Instant) {
	if relayed.Version <= f.seen {
		return
	}
	doubt := DoubtNone
	if !relayed.IsSettled {
		doubt = DoubtUpstream
	}
	f.receiveFrom(SourceUpstream, relayed.Daemon, relayed.Rows)
	f.giveGrace(currentAt, doubt)
	switch {
	case relayed.IsPart:
		f.Part.ChangePart(newerThan(relayed.Rows, f.seen), relayed.Version)
	case relayed.IsWhole:
		f.Consumer.Replace(relayed.Rows, relayed.Version)
		f.Logger.Info("table_from_upstream", "table", f.Table, "version", relayed.Version, "version_before", f.seen, "rows", len(relayed.Rows))
	default:
		f.passChanges(newerThan(relayed.Rows, f.seen), relayed.Version)
	}
	f.seen = relayed.Version
}
