package job

import (
	"context"
	"fmt"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/submissionbuffer"
)

// Availability tells whether the store answers.
type Availability interface {
	// AwayFor returns for how long the store has not answered, and whether it is taken
	// for away.
	AwayFor(now time.Time) (time.Duration, bool)
	// AwaitReturn waits until the store answers; it reports false when the context ends
	// first.
	AwaitReturn(ctx context.Context) bool
	// Recheck asks a store that was not called for a while whether it answers.
	Recheck(ctx context.Context) bool
}

// How the holding of a submission ended, as labels of the metric.
const (
	holdReturned = "store_returned"
	holdExpired  = "time_over"
	holdRefused  = "no_room"
)

// awayError tells that a submission was not tried because the store is away.
type awayError struct {
	awayFor time.Duration
	heldFor time.Duration
}

// Error implements error.
func (e *awayError) Error() string {
	return fmt.Sprintf("the store is away: away_ms=%d held_ms=%d", e.awayFor.Milliseconds(), e.heldFor.Milliseconds())
}

// holdWhileAway holds a submission until the store answers, and reports whether it was
// held. A failure promises that nothing of it was sent to the store by this call since it
// is held.
func (s *Service) holdWhileAway(caller context.Context, submitted Job) (wasHeld bool, err error) {
	if !s.isStoreAway() {
		return false, nil
	}
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	// A daemon that stops must not keep callers longer than it may take to stop.
	defer context.AfterFunc(s.stopped, cancel)()
	started := time.Now()
	leave, isHeld := s.submissions.Add(submitted.contentBytes())
	switch {
	case isHeld:
	case s.availability.Recheck(ctx):
		// What is too large to be held must not be refused for an outage that is over.
		return false, nil
	default:
		return false, s.endHold(submitted, started, holdRefused)
	}
	defer leave()
	s.log.Info("job_held", "job", submitted.ID, "items", len(submitted.Items), "bytes", submitted.contentBytes(), "held", s.submissions.Count(), "away_ms", s.awayFor(started).Milliseconds())
	if s.availability.AwaitReturn(ctx) {
		return true, s.endHold(submitted, started, holdReturned)
	}
	return true, s.endHold(submitted, started, holdExpired)
}

// endHold accounts for a submission that is held no more, and makes the failure of one
// that was not held to the store's return.
func (s *Service) endHold(submitted Job, started time.Time, outcome string) error {
	now := time.Now()
	awayFor, heldFor := s.awayFor(now), now.Sub(started)
	s.metrics.Held.WithLabelValues(outcome).Inc()
	s.log.Info("job_hold_ended", "job", submitted.ID, "outcome", outcome, "held_ms", heldFor.Milliseconds(), "away_ms", awayFor.Milliseconds())
	if outcome == holdReturned {
		return nil
	}
	refused := failure.From(unavailable(&awayError{awayFor: awayFor, heldFor: heldFor}))
	return refused.WithRetryAfter(submissionbuffer.RetryAfter(awayFor, outcome == holdExpired))
}

// isStoreAway reports whether submissions are held.
func (s *Service) isStoreAway() bool {
	if s.availability == nil {
		return false
	}
	_, isAway := s.availability.AwayFor(time.Now())
	return isAway
}

func (s *Service) awayFor(now time.Time) time.Duration {
	awayFor, _ := s.availability.AwayFor(now)
	return awayFor
}

// awaitStore waits until a store that is away answers; it reports false when the context
// ends first.
func (s *Service) awaitStore(ctx context.Context) bool {
	return s.availability == nil || s.availability.AwaitReturn(ctx)
}

// isWorthHolding reports whether a submission that failed may be held and tried again:
// nothing of it can take effect any more, and its caller still waits.
func isWorthHolding(ctx context.Context, err error) bool {
	failed := failure.From(err)
	return err != nil && ctx.Err() == nil && failed.Kind == failure.KindUnavailable && failed.NotRun && failed.Code != codeCancelledEarly
}

// contentBytes is the size of what the items hold.
func (j *Job) contentBytes() int {
	total := 0
	for index := range j.Items {
		total += len(j.Items[index].Body)
	}
	return total
}
