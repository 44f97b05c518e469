package job

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
)

const (
	// firstClaimsPatience is how long a call about a job waits in a daemon that has not
	// read the claims since its start. They come within milliseconds; a store that is
	// away is no reason to keep callers waiting.
	initialClaimsTimeout = 500 * time.Millisecond
	// firstClaimsPoll is the pause between two looks meanwhile.
	initialClaimsPoll = 5 * time.Millisecond
)

// awaitFirstClaims waits until the claims were read for the first time since the start,
// and reports whether that came while it waited: what was asked of the store before may
// be asked again.
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
