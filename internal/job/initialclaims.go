package job

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
)

const (
	// initialClaimsTimeout bounds how long a call waits for current claims after the daemon
	// started.
	initialClaimsTimeout = 500 * time.Millisecond
	// initialClaimsPoll is the interval at which a waiting call checks for the claims.
	initialClaimsPoll = 5 * time.Millisecond
)

// hasCurrentClaims reports whether the followed copy of the claims is recent enough to
// decide from it, and records that it was at least once since the start. A copy that was
// read is current only once the store has confirmed it.
func (s *Service) hasCurrentClaims() bool {
	isCurrent := s.claimsAge() <= claimsAgeLimit
	if isCurrent {
		s.hadCurrentClaims.Store(true)
	}
	return isCurrent
}

// awaitInitialClaims reports whether the claims are current. If they never were since the
// start, it waits for them. It doesn't wait for claims that have become stale later: the
// store is unavailable then, and the caller is refused at once.
func (s *Service) awaitInitialClaims(ctx context.Context) bool {
	if s.hasCurrentClaims() {
		return true
	}
	if s.hadCurrentClaims.Load() {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, initialClaimsTimeout)
	defer cancel()
	for !s.hasCurrentClaims() {
		if !periodic.Sleep(bounded, initialClaimsPoll) {
			return false
		}
	}
	return true
}
