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
	bufferingReturned = "store_returned"
	bufferingExpired  = "time_over"
	bufferingRefused  = "no_room"
)

// unavailableError tells that a submission was not tried because the store is away.
type unavailableError struct {
	unavailableFor time.Duration
	bufferedFor    time.Duration
}

// Error implements error.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("store unavailable: away_ms=%d held_ms=%d", e.unavailableFor.Milliseconds(), e.bufferedFor.Milliseconds())
}

// bufferWhileUnavailable holds a submission until the store answers, and reports whether it was
// held. A failure promises that nothing of it was sent to the store by this call since it
// is held.
func (s *Service) bufferWhileUnavailable(caller context.Context, submitted Job) (wasBuffered bool, err error) {
	if !s.isStoreUnavailable() {
		return false, nil
	}
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	// A daemon that stops must not keep callers longer than it may take to stop.
	defer context.AfterFunc(s.stopped, cancel)()
	started := time.Now()
	remove, isBuffered := s.held.Add(submitted.contentBytes())
	switch {
	case isBuffered:
	case s.availability.Recheck(ctx):
		// What is too large to be held must not be refused for an outage that is over.
		return false, nil
	default:
		return false, s.endBuffering(submitted, started, bufferingRefused)
	}
	defer remove()
	s.log.Info("job_held", "job", submitted.ID, "items", len(submitted.Items), "bytes", submitted.contentBytes(), "held", s.held.Count(), "away_ms", s.unavailableFor(started).Milliseconds())
	if s.availability.AwaitReturn(ctx) {
		return true, s.endBuffering(submitted, started, bufferingReturned)
	}
	return true, s.endBuffering(submitted, started, bufferingExpired)
}

// endBuffering accounts for a submission that is held no more, and makes the failure of one
// that was not held to the store's return.
func (s *Service) endBuffering(submitted Job, started time.Time, outcome string) error {
	now := time.Now()
	unavailableFor, bufferedFor := s.unavailableFor(now), now.Sub(started)
	s.metrics.Held.WithLabelValues(outcome).Inc()
	s.log.Info("job_hold_ended", "job", submitted.ID, "outcome", outcome, "held_ms", bufferedFor.Milliseconds(), "away_ms", unavailableFor.Milliseconds())
	if outcome == bufferingReturned {
		return nil
	}
	refused := failure.From(unavailable(&unavailableError{unavailableFor: unavailableFor, bufferedFor: bufferedFor}))
	return refused.WithRetryAfter(submissionbuffer.RetryAfter(unavailableFor, outcome == bufferingExpired))
}

// isStoreUnavailable reports whether submissions are held.
func (s *Service) isStoreUnavailable() bool {
	if s.availability == nil {
		return false
	}
	_, isUnavailable := s.availability.AwayFor(time.Now())
	return isUnavailable
}

func (s *Service) unavailableFor(now time.Time) time.Duration {
	unavailableFor, _ := s.availability.AwayFor(now)
	return unavailableFor
}

// awaitStore waits until a store that is away answers; it reports false when the context
// ends first.
func (s *Service) awaitStore(ctx context.Context) bool {
	return s.availability == nil || s.availability.AwaitReturn(ctx)
}

// isBufferable reports whether a submission that failed may be held and tried again:
// nothing of it can take effect any more, and its caller still waits.
func isBufferable(ctx context.Context, err error) bool {
	failed := failure.From(err)
	return err != nil && ctx.Err() == nil && failed.Kind == failure.KindUnavailable && failed.NotRun && failed.Code != codeEndedEarly
}

// contentBytes is the size of what the items hold.
func (j *Job) contentBytes() int {
	total := 0
	for index := range j.Items {
		total += len(j.Items[index].Body)
	}
	return total
}
