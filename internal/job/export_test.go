package job

import (
	"context"

	"topazpulley/internal/table"
)

// RefuseUnlessAccepted refuses a job that does not fit.
func (s *Service) RefuseUnlessAccepted(ctx context.Context, submitted Job, refused error) error {
	return s.refuseUnlessAccepted(ctx, submitted, refused)
}

// Followed returns the version up to which the service has heard of claims.
func (s *Service) Followed() table.Version {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.followed
}

// KnowsOpen reports whether the service knows the job to be accepted and not over.
func (s *Service) KnowsOpen(id string) bool { return s.isOpen(id) }

// EndsUnderWay returns how many ends are pursued.
func (s *Service) EndsUnderWay() int { return len(s.cancellations.all()) }

// KnownGone returns how many claims are held against the copy that is followed.
func (s *Service) KnownGone() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.removed)
}

// DropOlderOwnership owns a job twice in a row and lets the first ownership end
// afterwards, as a goroutine does that was waiting for the store.
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

// IsStoreAway reports whether submissions are held.
func (s *Service) IsStoreAway() bool { return s.isStoreUnavailable() }

// Held returns how many submissions are held.
func (s *Service) Held() int { return s.submissions.Count() }

// HoldBy has submissions held by what another store's calls tell. It is set before use.
func (s *Service) HoldBy(availability Availability) { s.availability = availability }
