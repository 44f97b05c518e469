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
	cancelTimeout = time.Minute
	// endsAtOnce bounds the ends that are pursued at the same time. A fleet of sixty
	// daemons ends some jobs a second, and one daemon a few a minute. One more lasts as
	// long as its caller's call.
	maxCancellations = 1024
)

// ending is an end of a job that is being pursued, whoever waits for it. err is set
// before done is closed.
type cancellation struct {
	done chan struct{}
	err  error
	// isHolding tells that the end holds the job's items. endings.mutex guards it.
	blocksItems bool
	// awaited is closed once a caller waits for the end.
	awaited    chan struct{}
	callerOnce sync.Once
}

// noteCaller takes note that a caller waits for the end.
func (e *cancellation) markAwaited() { e.callerOnce.Do(func() { close(e.awaited) }) }

// endingKey names an end: another tenant's end of the same job is another.
type cancelKey struct{ job, tenant string }

// endings are the ends that are pursued. It is safe for concurrent use.
type cancellations struct {
	mutex    sync.Mutex
	underWay map[cancelKey]*cancellation
	// held counts, by job, the ends that were found to be allowed: no item of the job
	// is started here meanwhile.
	blocked map[string]int
}

func newCancellations() cancellations {
	return cancellations{underWay: map[cancelKey]*cancellation{}, blocked: map[string]int{}}
}

// begin returns the end of a job that is under way, or a new one which the caller
// must pursue. It reports false if no more ends can be pursued.
func (e *cancellations) begin(key cancelKey) (found *cancellation, isNew, hasCapacity bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if found = e.underWay[key]; found != nil {
		return found, false, true
	}
	if len(e.underWay) >= maxCancellations {
		return nil, false, false
	}
	found = &cancellation{done: make(chan struct{}), awaited: make(chan struct{})}
	e.underWay[key] = found
	return found, true, true
}

// finish tells those who wait how an end ended.
func (e *cancellations) finish(key cancelKey, finished *cancellation, err error) {
	e.mutex.Lock()
	delete(e.underWay, key)
	if finished.blocksItems {
		e.blocked[key.job]--
		if e.blocked[key.job] == 0 {
			delete(e.blocked, key.job)
		}
	}
	e.mutex.Unlock()
	finished.err = err
	close(finished.done)
}

// hold has no item of the job start here until the end has ended.
func (e *cancellations) blockItems(key cancelKey) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := e.underWay[key]
	if found == nil || found.blocksItems {
		return
	}
	found.blocksItems = true
	e.blocked[key.job]++
}

// isHeld reports whether the job is being ended here.
func (e *cancellations) isBlocked(job string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.blocked[job] > 0
}

// all returns the ends that are under way.
func (e *cancellations) all() []*cancellation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	found := make([]*cancellation, 0, len(e.underWay))
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
	s, key := t.service, cancelKey{job: id, tenant: t.tenant}
	found, isNew, hasCapacity := s.cancellations.begin(key)
	if !hasCapacity {
		return s.cancelUntilDone(ctx, key)
	}
	found.markAwaited()
	if isNew {
		s.log.Info("job_end_taken", "job", id, "tenant", t.tenant)
		s.blockIfOpen(key) // before the caller is answered: from then on it has ended the job
		s.startCancellation(key, found, cancelTimeout, func(ctx context.Context) error {
			s.notifyOwner(ctx, key)
			return s.cancelUntilDone(ctx, key)
		})
	}
	select {
	case <-found.done:
		return found.err
	case <-ctx.Done():
		return cancelUnknown(ctx.Err())
	}
}

// startEnd pursues a new end for a time, whoever waits for it.
func (s *Service) startCancellation(key cancelKey, begun *cancellation, duration time.Duration, run func(ctx context.Context) error) {
	go func() {
		bounded, cancel := context.WithTimeout(s.lifetime, duration)
		defer cancel()
		s.cancellations.finish(key, begun, run(bounded))
	}()
}

// holdIfKnown holds the items of a job that is known here to be open and that the
// tenant may end.
func (s *Service) blockIfOpen(key cancelKey) {
	if owner, isOpen := s.openTenant(key.job); isOpen && mayAccess(owner, key.tenant) {
		s.cancellations.blockItems(key)
	}
}

// pursueEnd tries to end a job until the store tells how that ended or the context
// ends.
func (s *Service) cancelUntilDone(ctx context.Context, key cancelKey) error {
	started := time.Now()
	removed, tries, err := s.removeCurrentClaim(ctx, key)
	if err != nil {
		s.log.Info("job_end_failed", "job", key.job, "tries", tries, "took_ms", time.Since(started).Milliseconds(), "error", err)
		return err
	}
	s.log.Info("job_ended", "job", key.job, "claim_version", removed.version, "owner", removed.claim.Owner, "tries", tries, "took_ms", time.Since(started).Milliseconds())
	s.mutex.Lock()
	s.markClaimRemoved(key.job, removed.version)
	s.mutex.Unlock()
	s.drop(key.job, dropEnded)
	if removed.claim.Owner != "" && removed.claim.Owner != s.self.Name {
		s.peers.NotifyClaimRemoved(removed.claim.Owner, key.job, removed.version)
	}
	return nil
}

// endOnceKnown reads whose the job is and what claim it has, and removes the claim.
// It returns that claim, and how often the job was read.
func (s *Service) removeCurrentClaim(ctx context.Context, key cancelKey) (versionedClaim, int, error) {
	backoff := newCancelBackoff()
	for tries := 1; ; tries++ {
		held, err := s.cancellableClaim(ctx, key)
		if err == nil {
			removed, err := s.removeClaim(ctx, key, held)
			return removed, tries, err
		}
		if !failure.Is(err, failure.KindUnavailable) || !s.backOff(ctx, key, &backoff) {
			return versionedClaim{}, tries, err
		}
	}
}

// claimToEnd returns the claim on a tenant's job, with version 0 if the job has ended.
func (s *Service) cancellableClaim(ctx context.Context, key cancelKey) (versionedClaim, error) {
	err := s.Of(key.tenant).check(ctx, key.job)
	if failure.HasCode(err, codeNoJob) && !s.isAcceptanceKnown(key.job) {
		return versionedClaim{}, s.voidCancelled(ctx, key)
	}
	if err != nil {
		return versionedClaim{}, err
	}
	s.cancellations.blockItems(key)
	return s.storedClaim(ctx, key.job)
}

// storedClaim reads a job's claim from the store; version 0 tells that there is none.
func (s *Service) storedClaim(ctx context.Context, id string) (versionedClaim, error) {
	rows, err := s.read(ctx, table.Range{Table: tableClaim, Partition: shard(id), From: id, Before: id + "\x00", Limit: 1})
	if err != nil || len(rows) == 0 {
		return versionedClaim{}, err
	}
	return s.decodeClaim(rows[0]), nil
}

// claimOf reads a claim's row. One that cannot be read has no owner known.
func (s *Service) decodeClaim(row table.Row) versionedClaim {
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
func (s *Service) removeClaim(ctx context.Context, key cancelKey, held versionedClaim) (versionedClaim, error) {
	id, removed := key.job, held
	isUnsettled := false
	backoff := newCancelBackoff()
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
			held = s.decodeClaim(conflict.Row(tableClaim, id))
			if held.version != 0 {
				removed = held
			}
			continue
		}
		isUnsettled = isUnsettled || isUnknown(err)
		if s.backOff(ctx, key, &backoff) {
			continue
		}
		if isUnsettled {
			return removed, cancelUnknown(err)
		}
		return removed, unavailable(err)
	}
	return removed, nil
}

// longestEndPause is the longest pause between two tries of an end. Ends that a store
// turns away for a minute must not keep it busy: twenty of them made 328 calls a second
// with a pause of 60 ms.
const maxCancelPause = time.Second

// endPause is the pause between two tries of an end, which doubles.
type cancelBackoff struct{ next time.Duration }

func newCancelBackoff() cancelBackoff { return cancelBackoff{next: retryPause} }

// sleep waits and reports false when the context ends.
func (p *cancelBackoff) sleep(ctx context.Context) bool {
	pause := p.next
	p.next = min(2*pause, maxCancelPause)
	return periodic.SleepAbout(ctx, pause)
}

// pauseEnd lets the owner of a job know that an end was turned away, and waits for the
// next try. It reports false when the context ends.
func (s *Service) backOff(ctx context.Context, key cancelKey, backoff *cancelBackoff) bool {
	s.notifyOwner(ctx, key)
	return backoff.sleep(ctx)
}

// AwaitCancellations waits until the ends that are under way have ended, or the context ends.
func (s *Service) AwaitCancellations(ctx context.Context) {
	for _, each := range s.cancellations.all() {
		select {
		case <-each.done:
		case <-ctx.Done():
			return
		}
	}
}
