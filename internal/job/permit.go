package job

import (
	"strconv"
	"time"

	"topazpulley/internal/serving"
)

// claimsAgeLimit is for how long the claims, as this daemon knows them, may not have
// been the present state while it still starts items. A job that was ended, or taken
// over, longer ago is known here not to be its own. Behind it lie the way to the backend
// and a turn of a slow machine: together they stay under the three seconds after
// which an ended job's items may reach no backend (INVARIANTS). While nothing is wrong
// the copy is no older than 1.5 s, directly and behind an upstream.
const claimsAgeLimit = 2 * time.Second

// withheldError tells why an item may not be started now.
type withheldError struct {
	reason withheldReason
	// claimsAge is how old the claims were.
	claimsAge time.Duration
}

// withheldReason names a reason to start no items.
type withheldReason string

// The reasons.
const (
	withheldOldClaims withheldReason = "old_claims"
	withheldDropped   withheldReason = "job_dropped"
	withheldEnding    withheldReason = "job_ending"
)

// Error implements error.
func (e *withheldError) Error() string {
	return "the item is withheld: " + string(e.reason) + ", claims_age_ms=" + strconv.FormatInt(shownAge(e.claimsAge), 10)
}

// permit returns an error unless an item may reach a backend now. It is asked when
// the connection is there, just before the first byte leaves: what was known when the
// item was placed may be old by then.
func (s *Service) permit(starting *ownedItem) error {
	age := s.claimsAge()
	held := starting.owner
	held.mutex.Lock()
	isDropped := held.dropped
	held.mutex.Unlock()
	switch {
	case isDropped:
		return withheld(withheldDropped, age)
	case age > claimsAgeLimit:
		return withheld(withheldOldClaims, age)
	case s.cancellations.isBlocked(held.job.ID):
		return withheld(withheldEnding, age)
	}
	return nil
}

func withheld(reason withheldReason, claimsAge time.Duration) error {
	return &serving.AttemptError{
		Outcome: serving.OutcomeNotRun, Reason: serving.ReasonPermitRefused, Cause: &withheldError{reason: reason, claimsAge: claimsAge},
	}
}

// mayStartItems reports whether the claims are known well enough to start items. It
// belongs to the dispatcher's goroutine, and logs when that changes.
func (s *Service) mayStartItems() bool {
	age := s.claimsAge()
	isOld := age > claimsAgeLimit
	if isOld != s.hasStaleClaims {
		s.hasStaleClaims = isOld
		event := "claims_regained"
		if isOld {
			event = "claims_too_old"
		}
		s.log.Info(event, "claims_age_ms", shownAge(age), "limit_ms", claimsAgeLimit.Milliseconds(), "jobs", s.Owned())
	}
	return !isOld
}
