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
	// cancelTimeout bounds one cancellation. It is longer than most outages of the store.
	cancelTimeout = time.Minute
	// maxCancellations limits the cancellations in the background. Beyond it, a
	// cancellation runs only as long as its caller's call.
	maxCancellations = 1024
)

// cancellation is a job cancellation in progress. It continues when its callers leave.
// err is set before done is closed.
type cancellation struct {
	done chan struct{}
	err  error
	// blocksItems reports whether this cancellation is counted in cancellations.blocked.
	// cancellations.mutex guards it.
	blocksItems bool
	// awaited is closed once a caller waits for the cancellation.
	awaited    chan struct{}
	callerOnce sync.Once
}

// markAwaited records that a caller waits for the cancellation.
func (c *cancellation) markAwaited() { c.callerOnce.Do(func() { close(c.awaited) }) }

// cancelKey identifies a cancellation. Cancellations of one job by different tenants
// are separate.
type cancelKey struct{ job, tenant string }

// cancellations holds the cancellations in progress. It is safe for concurrent use.
type cancellations struct {
	mutex      sync.Mutex
	inProgress map[cancelKey]*cancellation
	// blocked counts, by job, the cancellations in progress by tenants that may access it.
	// While the count is positive, this daemon sends no items of the job.
	blocked map[string]int
}

func newCancellations() cancellations {
	return cancellations{inProgress: map[cancelKey]*cancellation{}, blocked: map[string]int{}}
}

// begin returns the cancellation in progress for key, or a new one that the caller must
// run. hasCapacity is false if the limit of cancellations is reached.
func (c *cancellations) begin(key cancelKey) (found *cancellation, isNew, hasCapacity bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if found = c.inProgress[key]; found != nil {
		return found, false, true
	}
	if len(c.inProgress) >= maxCancellations {
		return nil, false, false
	}
	found = &cancellation{done: make(chan struct{}), awaited: make(chan struct{})}
	c.inProgress[key] = found
	return found, true, true
}

// finish removes a cancellation and returns its result to the callers that wait.
func (c *cancellations) finish(key cancelKey, finished *cancellation, err error) {
	c.mutex.Lock()
	delete(c.inProgress, key)
	if finished.blocksItems {
		c.blocked[key.job]--
		if c.blocked[key.job] == 0 {
			delete(c.blocked, key.job)
		}
	}
	c.mutex.Unlock()
	finished.err = err
	close(finished.done)
}

// blockItems prevents this daemon from sending items of the job until the cancellation
// finishes.
func (c *cancellations) blockItems(key cancelKey) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := c.inProgress[key]
	if found == nil || found.blocksItems {
		return
	}
	found.blocksItems = true
	c.blocked[key.job]++
}

// isBlocked reports whether a permitted cancellation of the job is in progress.
func (c *cancellations) isBlocked(job string) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.blocked[job] > 0
}

// all returns the cancellations in progress.
func (c *cancellations) all() []*cancellation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	found := make([]*cancellation, 0, len(c.inProgress))
	for _, each := range c.inProgress {
		found = append(found, each)
	}
	return found
}

// Cancel cancels a job: it removes the job's claim, and the owner stops the job as soon
// as it detects the removal. Cancelling a job that is finished or already cancelled
// succeeds.
//
// The cancellation runs for up to cancelTimeout even if the caller leaves earlier. If
// ctx ends first, the returned failure therefore reports the outcome as unknown, never
// as not done.
func (t TenantJobs) Cancel(ctx context.Context, id string) error {
	s, key := t.service, cancelKey{job: id, tenant: t.tenant}
	found, isNew, hasCapacity := s.cancellations.begin(key)
	if !hasCapacity {
		s.log.Info("job_end_over_limit", "job", id, "tenant", t.tenant, "limit", maxCancellations)
		return s.cancelUntilDone(ctx, key)
	}
	found.markAwaited()
	if isNew {
		s.log.Info("job_end_taken", "job", id, "tenant", t.tenant)
		s.blockIfOpen(key) // before the caller gets a response
		s.startCancellation(key, found, cancelTimeout, func(ctx context.Context) error {
			s.notifyOwner(ctx, key)
			return s.cancelUntilDone(ctx, key)
		})
	} else {
		s.log.Info("job_end_joined", "job", id, "tenant", t.tenant)
	}
	select {
	case <-found.done:
		return found.err
	case <-ctx.Done():
		return cancelUnknown(ctx.Err())
	}
}

// startCancellation runs a new cancellation in the background for at most duration.
func (s *Service) startCancellation(key cancelKey, started *cancellation, duration time.Duration, run func(ctx context.Context) error) {
	go func() {
		bounded, cancel := context.WithTimeout(s.lifetime, duration)
		defer cancel()
		s.cancellations.finish(key, started, run(bounded))
	}()
}

// blockIfOpen blocks the items of a job that is known to be open and that the tenant
// may cancel.
func (s *Service) blockIfOpen(key cancelKey) {
	if owner, isOpen := s.openTenant(key.job); isOpen && mayAccess(owner, key.tenant) {
		s.cancellations.blockItems(key)
	}
}

// cancelUntilDone tries to cancel a job until the outcome is known or ctx ends.
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
	s.drop(key.job, dropCancelled)
	if removed.claim.Owner != "" && removed.claim.Owner != s.self.Name {
		s.peers.NotifyClaimRemoved(removed.claim.Owner, key.job, removed.version)
	}
	return nil
}

// removeCurrentClaim checks the tenant, reads the claim from the store and removes it.
// It returns the removed claim and the number of attempts to read it.
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

// cancellableClaim returns the claim of a tenant's job. Its version is 0 if the job is
// finished.
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

// storedClaim reads a job's claim from the store. Its version is 0 if there is none.
func (s *Service) storedClaim(ctx context.Context, id string) (versionedClaim, error) {
	rows, err := s.read(ctx, table.Range{Table: tableClaim, Partition: shard(id), From: id, Before: id + "\x00", Limit: 1})
	if err != nil || len(rows) == 0 {
		return versionedClaim{}, err
	}
	return s.decodeClaim(rows[0]), nil
}

// decodeClaim decodes a claim row. If the row cannot be decoded, the claim is zero, so that it has no
// owner.
func (s *Service) decodeClaim(row table.Row) versionedClaim {
	found := versionedClaim{version: row.Version}
	if row.Version == 0 {
		return found
	}
	if err := decode(row, &found.claim); err != nil {
		s.log.Warn("claim_unreadable", "job", row.Key, "error", err)
		found.claim = claim{}
	}
	return found
}

// removeClaim removes a claim and retries until it is known to be removed or ctx ends.
// It returns the last claim seen. An attempt without a response may take effect later;
// after one, a failure reports the outcome as unknown.
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

// maxCancelPause limits the mean pause between two attempts of a cancellation, so that
// many cancellations do not overload a failing store.
const maxCancelPause = time.Second

// cancelBackoff is the pause between two attempts of a cancellation. It doubles each
// time, up to maxCancelPause.
type cancelBackoff struct{ next time.Duration }

func newCancelBackoff() cancelBackoff { return cancelBackoff{next: retryPause} }

// sleep waits for the pause. It returns false if ctx ends first.
func (b *cancelBackoff) sleep(ctx context.Context) bool {
	pause := b.next
	b.next = min(2*pause, maxCancelPause)
	return periodic.SleepAbout(ctx, pause)
}

// backOff notifies the job's owner after a failed attempt and waits before the next
// one. It returns false if ctx ends first.
func (s *Service) backOff(ctx context.Context, key cancelKey, backoff *cancelBackoff) bool {
	s.notifyOwner(ctx, key)
	return backoff.sleep(ctx)
}

// AwaitCancellations waits until the cancellations in progress have finished or ctx
// ends.
func (s *Service) AwaitCancellations(ctx context.Context) {
	for _, each := range s.cancellations.all() {
		select {
		case <-each.done:
		case <-ctx.Done():
			return
		}
	}
}
