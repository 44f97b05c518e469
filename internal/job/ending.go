package job

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/failure"
	"topazpulley/internal/periodic"
	"topazpulley/internal/table"
)

const (
	// endTime is how long an end is pursued: longer than most outages of the store.
	// Callers that have had no answer by then have long come again, or never will.
	endTime = time.Minute
	// endsAtOnce bounds the ends that are pursued at the same time. A fleet of sixty
	// daemons ends some jobs a second, and one daemon a few a minute. One more lasts as
	// long as its caller's call.
	endsAtOnce = 1024
)

// ending is an end of a job that is being pursued, whoever waits for it. err is set
// before done is closed.
type ending struct {
	done chan struct{}
	err  error
	// isHolding tells that the end holds the job's items. endings.mutex guards it.
	isHolding bool
	// awaited is closed once a caller waits for the end.
	awaited    chan struct{}
	callerOnce sync.Once
}

// noteCaller takes note that a caller waits for the end.
func (e *ending) noteCaller() { e.callerOnce.Do(func() { close(e.awaited) }) }

// endingKey names an end: another tenant's end of the same job is another.
type endingKey struct{ job, tenant string }

// endings are the ends that are pursued. It is safe for concurrent use.
type endings struct {
	mutex    sync.Mutex
	underWay map[endingKey]*ending
	// held counts, by job, the ends that were found to be allowed: no item of the job
	// is started here meanwhile.
	held map[string]int
}

func newEndings() endings {
	return endings{underWay: map[endingKey]*ending{}, held: map[string]int{}}
}

// begin returns the end of a job that is under way, or a new one which the caller
// must pursue. It reports false if no more ends can be pursued.
func (e *endings) begin(key endingKey) (found *ending, isNew, isRoom bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if found = e.underWay[key]; found != nil {
		return found, false, true
	}
	if len(e.underWay) >= endsAtOnce {
		return nil, false, false
	}
	found = &ending{done: make(chan struct{}), awaited: make(chan struct{})}
	e.underWay[key] = found
	return found, true, true
}

// finish tells those who wait how an end ended.
func (e *endings) finish(key endingKey, ended *ending, err error) {
	e.mutex.Lock()
	delete(e.underWay, key)
	if ended.isHolding {
		e.held[key.job]--
		if e.held[key.job] == 0 {
			delete(e.held, key.job)
		}
	}
	e.mutex.Unlock()
	ended.err = err
	close(ended.done)
}

// hold has no item of the job start here until the end has ended.
func (e *endings) hold(key endingKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	holding := e.underWay[key]
	if holding == nil || holding.isHolding {
		return
	}
	holding.isHolding = true
	e.held[key.job]++
}

// isHeld reports whether the job is being ended here.
func (e *endings) isHeld(job string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.held[job] > 0
}

// all returns the ends that are under way.
func (e *endings) all() []*ending {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := make([]*ending, 0, len(e.underWay))
	for _, each := range e.underWay {
		found = append(found, each)
	}
	return found
}

// Cancel ends a job: its claim is removed, and nothing more of it is run. Ending a job
// that has ended is no error.
//
// Once it is asked for, the end is pursued for endTime whether or not the caller
// waits: a caller that leaves, or has had no answer in time, has ended the job all the
// same, and its items would run for as long as they wait for room: up to 57 s, over 63
// daemons with a store that turns nine in ten commits away for 4 s at a time, where ends
// live as long as their calls. An end that outlives the call is therefore never answered
// as not done.
func (t TenantJobs) Cancel(ctx context.Context, id string) error {
	s, key := t.service, endingKey{job: id, tenant: t.tenant}
	found, isNew, isRoom := s.endings.begin(key)
	if !isRoom {
		return s.pursueEnd(ctx, key)
	}
	found.noteCaller()
	if isNew {
		s.log.Info("job_end_taken", "job", id, "tenant", t.tenant)
		s.holdIfKnown(key) // before the caller is answered: from then on it has ended the job
		s.startEnd(key, found, endTime, func(ctx context.Context) error {
			s.tellOwner(ctx, key)
			return s.pursueEnd(ctx, key)
		})
	}
	select {
	case <-found.done:
		return found.err
	case <-ctx.Done():
		return endUnknown(ctx.Err())
	}
}

// startEnd pursues a new end for a time, whoever waits for it.
func (s *Service) startEnd(key endingKey, begun *ending, duration time.Duration, pursue func(ctx context.Context) error) {
	go func() {
		bounded, cancel := context.WithTimeout(s.lifetime, duration)
		defer cancel()
		s.endings.finish(key, begun, pursue(bounded))
	}()
}

// holdIfKnown holds the items of a job that is known here to be open and that the
// tenant may end.
func (s *Service) holdIfKnown(key endingKey) {
	if owner, isOpen := s.openTenant(key.job); isOpen && mayAccess(owner, key.tenant) {
		s.endings.hold(key)
	}
}

// pursueEnd tries to end a job until the store tells how that ended or the context
// ends.
func (s *Service) pursueEnd(ctx context.Context, key endingKey) error {
	started := time.Now()
	removed, tries, err := s.endOnceKnown(ctx, key)
	if err != nil {
		s.log.Info("job_end_failed", "job", key.job, "tries", tries, "took_ms", time.Since(started).Milliseconds(), "error", err)
		return err
	}
	s.log.Info("job_ended", "job", key.job, "claim_version", removed.version, "owner", removed.claim.Owner, "tries", tries, "took_ms", time.Since(started).Milliseconds())
	s.mutex.Lock()
	s.noteClaimGone(key.job, removed.version)
	s.mutex.Unlock()
	s.drop(key.job, dropEnded)
	if removed.claim.Owner != "" && removed.claim.Owner != s.self.Name {
		s.peers.NotifyClaimRemoved(removed.claim.Owner, key.job, removed.version)
	}
	return nil
}

// endOnceKnown reads whose the job is and what claim it has, and removes the claim.
// It returns that claim, and how often the job was read.
func (s *Service) endOnceKnown(ctx context.Context, key endingKey) (versionedClaim, int, error) {
	pause := newEndPause()
	for tries := 1; ; tries++ {
		held, err := s.claimToEnd(ctx, key)
		if err == nil {
			removed, err := s.removeClaim(ctx, key, held)
			return removed, tries, err
		}
		if !failure.Is(err, failure.KindUnavailable) || !s.pauseEnd(ctx, key, &pause) {
			return versionedClaim{}, tries, err
		}
	}
}

// claimToEnd returns the claim on a tenant's job, with version 0 if the job has ended.
func (s *Service) claimToEnd(ctx context.Context, key endingKey) (versionedClaim, error) {
	err := s.Of(key.tenant).check(ctx, key.job)
	if failure.HasCode(err, codeNoJob) && !s.isAcceptanceKnown(key.job) {
		return versionedClaim{}, s.voidForEnd(ctx, key)
	}
	if err != nil {
		return versionedClaim{}, err
	}
	s.endings.hold(key)
	return s.storedClaim(ctx, key.job)
}

// storedClaim reads a job's claim from the store; version 0 tells that there is none.
func (s *Service) storedClaim(ctx context.Context, id string) (versionedClaim, error) {
	rows, err := s.read(ctx, table.Range{Table: tableClaim, Partition: shard(id), From: id, Before: id + "\x00", Limit: 1})
	if err != nil || len(rows) == 0 {
		return versionedClaim{}, err
	}
	return s.claimOf(rows[0]), nil
}

// claimOf reads a claim's row. One that cannot be read has no owner known.
func (s *Service) claimOf(row table.Row) versionedClaim {
	found := versionedClaim{version: row.Version}
	if row.Version == 0 {
		return found
	}
	if err := decode(row, &found.claim); err != nil {
		s.log.Warn("claim_unreadable", "job", row.Key, "error", err)
	}
	return found
}

// removeClaim removes a claim until the store tells that it is gone, and returns the
// claim that was there last. A try without an answer may take effect later: after one,
// a failure promises nothing.
func (s *Service) removeClaim(ctx context.Context, key endingKey, held versionedClaim) (versionedClaim, error) {
	id, removed := key.job, held
	isUnsettled := false
	pause := newEndPause()
	for held.version != 0 {
		_, err := s.commit(ctx, table.Transaction{
			Partition:  shard(id),
			Conditions: []table.Condition{{Table: tableClaim, Key: id, Version: held.version}},
			Removals:   []table.Removal{{Table: tableClaim, Key: id}},
		})
		var conflict *table.ConflictError
		switch {
		case err == nil:
			return removed, nil
		case errors.As(err, &conflict):
			held = s.claimOf(conflict.Row(tableClaim, id))
			if held.version != 0 {
				removed = held
			}
			continue
		}
		isUnsettled = isUnsettled || isUnknown(err)
		if s.pauseEnd(ctx, key, &pause) {
			continue
		}
		if isUnsettled {
			return removed, endUnknown(err)
		}
		return removed, unavailable(err)
	}
	return removed, nil
}

// longestEndPause is the longest pause between two tries of an end. Ends that a store
// turns away for a minute must not keep it busy: twenty of them made 328 calls a second
// with a pause of 60 ms.
const longestEndPause = time.Second

// endPause is the pause between two tries of an end, which doubles.
type endPause struct{ next time.Duration }

func newEndPause() endPause { return endPause{next: storePause} }

// sleep waits and reports false when the context ends.
func (p *endPause) sleep(ctx context.Context) bool {
	pause := p.next
	p.next = min(2*pause, longestEndPause)
	return periodic.SleepAbout(ctx, pause)
}

// pauseEnd lets the owner of a job know that an end was turned away, and waits for the
// next try. It reports false when the context ends.
func (s *Service) pauseEnd(ctx context.Context, key endingKey, pause *endPause) bool {
	s.tellOwner(ctx, key)
	return pause.sleep(ctx)
}

// AwaitCancellations waits until the ends that are under way have ended, or the context ends.
func (s *Service) AwaitCancellations(ctx context.Context) {
	for _, each := range s.endings.all() {
		select {
		case <-each.done:
		case <-ctx.Done():
			return
		}
	}
}
