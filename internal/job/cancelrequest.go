package job

import (
	"context"
	"time"
)

// cancelRequestDelay is how long the daemon that receives a cancel request leaves the
// cancellation to the sender. Usually the sender succeeds within that time, and no
// second call to the store is needed. The job's items are blocked meanwhile.
const cancelRequestDelay = time.Second

// CancelRequest asks a daemon to also run a cancellation that another daemon is
// running.
type CancelRequest struct {
	Job    string
	Tenant string
	// Remaining is the time left for the cancellation. Forwarding the request does not
	// extend it.
	Remaining time.Duration
}

// notifyOwner sends a cancel request to the job's owner if the tenant may cancel the
// job. If this daemon is the owner or has no claim of the job, it sends the request to
// the successor: the daemon that would take over, or that may have the claim of a job accepted
// just now. It is called again after each failed attempt, because the owner may have been
// unreachable or may have changed.
func (s *Service) notifyOwner(ctx context.Context, key cancelKey) {
	held, isOpen := s.openClaim(key.job)
	if isOpen && !mayAccess(held.Tenant, key.tenant) {
		return
	}
	recipient := held.Owner
	if !isOpen || recipient == s.self.Name {
		recipient = s.peers.Successor(key.job)
	}
	if recipient == "" {
		return
	}
	remaining := cancelTimeout
	if deadline, isBounded := ctx.Deadline(); isBounded {
		remaining = min(remaining, time.Until(deadline))
	}
	s.peers.NotifyCancelRequest(recipient, CancelRequest{Job: key.job, Tenant: key.tenant, Remaining: remaining})
}

// openClaim returns the claim of a job that is known to be open. For a job that this
// daemon owns, the followed copy of the claims may not contain the claim yet.
func (s *Service) openClaim(id string) (held claim, isOpen bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if owned := s.owned[id]; owned != nil {
		return claim{Owner: s.self.Name, Tenant: owned.job.Tenant}, true
	}
	found, isClaimed := s.claims[id]
	return found.claim, isClaimed
}

// HandleCancelRequest handles a cancel request from another daemon. It blocks the job's
// items and runs the cancellation here too if the job is still open after
// cancelRequestDelay or a caller waits for it. This way the cancellation is not lost if
// the sender fails.
func (s *Service) HandleCancelRequest(request CancelRequest) {
	key := cancelKey{job: request.Job, tenant: request.Tenant}
	if request.Remaining <= 0 {
		return
	}
	found, isNew, hasCapacity := s.cancellations.begin(key)
	if !hasCapacity {
		s.log.Info("job_end_not_heard", "job", key.job, "tenant", key.tenant, "limit", maxCancellations)
		return
	}
	if !isNew {
		return
	}
	s.log.Info("job_end_heard", "job", key.job, "tenant", key.tenant, "remaining_ms", request.Remaining.Milliseconds())
	s.blockIfOpen(key)
	_, wasOpen := s.openTenant(key.job)
	s.startCancellation(key, found, min(request.Remaining, cancelTimeout), func(ctx context.Context) error {
		hasCaller := found.awaitCaller(ctx, cancelRequestDelay)
		if hasCaller || s.isOpen(key.job) {
			return s.cancelUntilDone(ctx, key)
		}
		if wasOpen {
			return nil
		}
		// The request may be a late one for a finished job. Reading the store for it is not
		// worth the load.
		return cancelUnknown(&notOpenError{job: key.job})
	})
}

// notOpenError reports that a job to cancel is not known to be open on this daemon. The
// job may be open elsewhere.
type notOpenError struct{ job string }

// Error implements error.
func (e *notOpenError) Error() string {
	return "job " + e.job + " is not known to be open on this daemon"
}

// awaitCaller waits for the pause. It returns true as soon as a caller waits for the
// cancellation.
func (c *cancellation) awaitCaller(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-c.awaited:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}
