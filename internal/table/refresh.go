package table

import (
	"context"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/periodic"
)

const (
	// overdueTime is how long past its wait a call for changes may be before the rows count as
	// out of date.
	overdueTime = 150 * time.Millisecond
	// refreshTimeout bounds one query to peers. A peer that doesn't answer doesn't delay it (see
	// Peers), a large table on a slow link does.
	refreshTimeout = 2 * time.Second
	// minRefreshPause and maxRefreshPause bound the pause between two queries to peers. The
	// pause doubles while no peer has a copy that is up to date.
	minRefreshPause = 400 * time.Millisecond
	maxRefreshPause = 800 * time.Millisecond
	// announceGrace is how long the rows of an announced version may take by the usual way.
	announceGrace = 300 * time.Millisecond
)

// Announce reports that rows of the table changed at a version. If they don't arrive by the
// usual way, they are requested from peers.
func (f *Follower) Announce(version Version) {
	if f.announced.Raise(version) {
		f.wakeRefresh()
	}
}

// wakeRefresh makes refreshUntilDone check at once whether the rows are out of date.
func (f *Follower) wakeRefresh() {
	select {
	case f.wakeups() <- struct{}{}:
	default:
	}
}

// wakeups returns the channel that wakes refreshUntilDone.
func (f *Follower) wakeups() chan struct{} {
	f.wakeupOnce.Do(func() { f.wakeup = make(chan struct{}, 1) })
	return f.wakeup
}

// refreshUntilDone asks peers whenever the rows are out of date, until the context ends. It runs
// beside the calls to the followed source, so that the time limits of these calls don't delay it.
func (f *Follower) refreshUntilDone(ctx context.Context) {
	if f.Peers == nil {
		return
	}
	pause := minRefreshPause
	for {
		timer := time.NewTimer(max(pause, f.freshFor()))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-f.wakeups():
			timer.Stop()
			if !periodic.Sleep(ctx, f.announcedWait()) {
				return
			}
		case <-timer.C:
		}
		if !f.isOutOfDate() {
			continue
		}
		pause = min(2*pause, maxRefreshPause)
		if f.refresh(ctx) {
			pause = minRefreshPause
		}
	}
}

// announcedWait returns how long to wait for the rows of an announced version: the time that they
// may take by the usual way or, if there is none, until rows may be received again.
func (f *Follower) announcedWait() time.Duration {
	if f.isStoreLost.Load() {
		return max(f.transfer.remaining(time.Now()), 0)
	}
	return announceGrace + f.transfer.expected()
}

// staleAge is the age from which the rows count as out of date: while a source answers, its
// calls confirm them earlier.
func (f *Follower) staleAge() time.Duration { return f.Wait + overdueTime }

// freshFor returns the time until the rows count as out of date if they aren't confirmed.
func (f *Follower) freshFor() time.Duration {
	if f.isStoreLost.Load() || !f.isSynced.Load() {
		return 0
	}
	return f.staleAge() - f.Age()
}

// isOutOfDate reports whether peers should be asked. The first read is left to the store unless
// that is lost.
func (f *Follower) isOutOfDate() bool {
	if f.isStoreLost.Load() {
		return true
	}
	if !f.isSynced.Load() {
		return false
	}
	return f.announced.Load() > f.seenVersion() || f.Age() >= f.staleAge()
}

// refresh replaces the table by the copy of a peer if that has newer rows. It reports whether
// the rows are up to date now. All versions come from the store's single counter, so that they
// are comparable between daemons.
func (f *Follower) refresh(ctx context.Context) bool {
	started := f.Now()
	bounded, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	section, _, wasKnown := f.Section()
	peerCopy, isFound := f.fetchPeerCopy(bounded, section, wasKnown)
	if !isFound {
		return false
	}
	f.delivery.Lock()
	defer f.delivery.Unlock()
	current, _, isKnown := f.Section()
	if current != section || isKnown != wasKnown {
		return false // the copy is one of another section
	}
	currentAt := started.Add(-peerCopy.Age)
	f.applyPeerCopy(peerCopy, currentAt)
	f.recordConfirmed(currentAt)
	return peerCopy.Age < f.staleAge() && f.seen >= f.announced.Load()
}

// applyPeerCopy passes the rows of a peer's copy, which were current at currentAt, on if they are
// newer. delivery must be held.
func (f *Follower) applyPeerCopy(peerCopy PeerCopy, currentAt boottime.Instant) {
	if !peerCopy.IsNewer || peerCopy.Version <= f.seen {
		return
	}
	if f.Plan != nil {
		f.setSection(peerSection(peerCopy))
	}
	f.receiveFrom(SourcePeer, peerCopy.Daemon, peerCopy.Rows)
	f.giveGrace(currentAt, DoubtPeer)
	f.Consumer.Replace(peerCopy.Rows, peerCopy.Version)
	f.Logger.Info("table_from_peer", "table", f.Table, "peer", peerCopy.Daemon, "unconfirmed_ms", f.Origin().Unconfirmed.Milliseconds(),
		"version", peerCopy.Version, "version_before", f.seen, "rows", len(peerCopy.Rows), "age_ms", peerCopy.Age.Milliseconds())
	f.seen = peerCopy.Version
	f.isSynced.Store(true)
}

// fetchPeerCopy asks other daemons for their copy. Only a follower that has no section yet
// accepts the copy of a section.
func (f *Follower) fetchPeerCopy(ctx context.Context, section Section, isKnown bool) (PeerCopy, bool) {
	query := PeerQuery{Table: f.Table, After: f.seenVersion(), Wanted: f.announced.Load()}
	switch {
	case section.IsPart:
		return PeerCopy{}, false
	case f.Plan == nil || isKnown:
		return f.Peers.Newer(ctx, query)
	}
	found, isFound := f.Peers.NewerPart(ctx, query)
	if !isFound {
		return f.Peers.Newer(ctx, query)
	}
	return found, true
}
