package job

import (
	"strconv"
	"time"

	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

// claimsAgeLimit is the age of this daemon's copy of the claims above which it starts no
// items: a job may have been cancelled or taken over meanwhile. Items of a cancelled job
// must not reach a backend more than three seconds after the cancellation; the limit leaves
// one second of this for sending the item. In normal operation the copy is at most
// 1.5 s old.
const claimsAgeLimit = 2 * time.Second

// permitError says why an item may not be started now.
type permitError struct {
	reason    refusalReason
	claimsAge time.Duration
}

type refusalReason string

// Reasons to refuse a permit.
const (
	refusedStaleClaims refusalReason = "old_claims"
	refusedDropped     refusalReason = "job_dropped"
	refusedCancelling  refusalReason = "job_ending"
)

// Error implements error.
func (e *permitError) Error() string {
	return "permit refused: " + string(e.reason) + ", claims_age_ms=" + strconv.FormatInt(telemetry.AgeMillis(e.claimsAge), 10)
}

// permit returns an error unless the item may be sent to a backend now. It is called once
// the connection is established, before the first byte is written: the state of the job
// may have changed since the item was placed.
func (s *Service) permit(item *ownedItem) error {
	age := s.claimsAge()
	owner := item.owner
	owner.mutex.Lock()
	isDropped := owner.dropped
	owner.mutex.Unlock()
	switch {
	case isDropped:
		return permitRefused(refusedDropped, age)
	case age > claimsAgeLimit:
		return permitRefused(refusedStaleClaims, age)
	case s.cancellations.isBlocked(owner.job.ID):
		return permitRefused(refusedCancelling, age)
	}
	return nil
}

// permitRefused returns the failure of an attempt that wasn't sent.
func permitRefused(reason refusalReason, claimsAge time.Duration) error {
	return &serving.AttemptError{
		Outcome: serving.OutcomeNotRun, Reason: serving.ReasonPermitRefused, Cause: &permitError{reason: reason, claimsAge: claimsAge},
	}
}

// mayStartItems reports whether the copy of the claims is recent enough to start items,
// and logs each change of this. Only the dispatcher's goroutine calls it.
func (s *Service) mayStartItems() bool {
	age := s.claimsAge()
	isStale := age > claimsAgeLimit
	if isStale != s.hasStaleClaims {
		s.hasStaleClaims = isStale
		event := "claims_regained"
		if isStale {
			event = "claims_too_old"
		}
		s.log.Info(event, "claims_age_ms", telemetry.AgeMillis(age), "limit_ms", claimsAgeLimit.Milliseconds(), "jobs", s.Owned())
	}
	return !isStale
}
