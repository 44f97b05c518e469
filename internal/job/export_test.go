package job

import (
	"context"
	"time"

	"topazpulley/internal/table"
)

// RefuseUnlessAccepted calls refuseUnlessAccepted.
func (s *Service) RefuseUnlessAccepted(ctx context.Context, submitted Job, refused error) error {
	return s.refuseUnlessAccepted(ctx, submitted, refused)
}

// Followed returns the version up to which the service has followed the claims.
func (s *Service) Followed() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.followed
}

// KnowsOpen reports whether the job is known to be accepted and not finished.
func (s *Service) KnowsOpen(id string) bool { return s.isOpen(id) }

// PendingCancellations returns the number of pending cancellations.
func (s *Service) PendingCancellations() int { return len(s.cancellations.all()) }

// RemovedClaims returns the number of recorded claim removals.
func (s *Service) RemovedClaims() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.removed)
}

// DropOlderOwnership owns a job twice and drops the first ownership after the second has begun.
func DropOlderOwnership(s *Service, owned Job) error {
	s.startJob(owned, versionedClaim{claim: s.newClaim(1, owned.Tenant), version: 1 << 40}, history{})
	s.mutex.Lock()
	older := s.owned[owned.ID]
	s.mutex.Unlock()
	s.drop(owned.ID, dropClaimLost)
	s.startJob(owned, versionedClaim{claim: s.newClaim(3, owned.Tenant), version: 1<<40 + 1}, history{})
	older.drop(dropClaimLost)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.owned[owned.ID] == nil {
		return &claimLostError{job: owned.ID}
	}
	return nil
}

// IsStoreUnavailable reports whether submissions are buffered.
func (s *Service) IsStoreUnavailable() bool { return s.isStoreUnavailable() }

// Buffered returns the number of buffered submissions.
func (s *Service) Buffered() int { return s.submissions.Count() }

// SetAvailability sets the availability that decides on buffering. It is called before the service is used.
func (s *Service) SetAvailability(availability Availability) { s.availability = availability }

// Shard returns the partition of a job's rows.
func Shard(id string) string { return shard(id) }

// IsStopping reports whether Stop was called.
func IsStopping(s *Service) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stopping
}

// DispatchLate dispatches the waiting items of a job, as a round does that began before Stop was called.
func DispatchLate(s *Service, id string) {
	s.mutex.Lock()
	owned := s.owned[id]
	s.mutex.Unlock()
	now := time.Now()
	ready := owned.sendable(now)
	s.placer.windowStart = time.Time{}
	s.placer.begin(len(ready), s.backends.PeerWaiting(), now, s.propagationWindow())
	for _, waiting := range ready {
		s.dispatch(waiting, now)
	}
}

// Finished returns the number of results of an owned job that are not committed.
func Finished(s *Service, id string) int {
	s.mutex.Lock()
	owned := s.owned[id]
	s.mutex.Unlock()
	owned.mutex.Lock()
	defer owned.mutex.Unlock()
	return len(owned.finished)
}

// TextBytes returns the bytes of text that the items of an owned job have produced.
func TextBytes(s *Service, id string) int {
	s.mutex.Lock()
	owned := s.owned[id]
	s.mutex.Unlock()
	total := 0
	for _, item := range owned.items {
		item.progress.mutex.Lock()
		total += len(item.progress.content)
		item.progress.mutex.Unlock()
	}
	return total
}
