package job

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
)

const (
	// initialClaimsTimeout bounds how long a call waits for the first read of the claims
	// after the daemon started.
	initialClaimsTimeout = 500 * time.Millisecond
	// initialClaimsPoll is the interval at which a waiting call checks for the claims.
	initialClaimsPoll = 5 * time.Millisecond
)

// awaitInitialClaims waits for the first read of the claims after the start. It returns
// true if the claims arrived during the wait; the caller may then repeat a read of the
// store that came before.
func (s *Service) awaitInitialClaims(ctx context.Context) bool {
	s.mutex.Lock()
	isRead := s.followed > 0
	s.mutex.Unlock()
	if isRead || s.claimsAge() <= claimsAgeLimit {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, initialClaimsTimeout)
	defer cancel()
	for s.claimsAge() > claimsAgeLimit {
		if !periodic.Sleep(bounded, initialClaimsPoll) {
			return false
		}
	}
	return true
}
