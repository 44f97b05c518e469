package job

import (
	"context"
	"fmt"
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/submissionbuffer"
)

// Availability reports whether the store answers.
type Availability interface {
	// AwayFor returns for how long the store has not answered, and whether it counts as
	// unavailable.
	AwayFor(now time.Time) (time.Duration, bool)
	// AwaitReturn waits until the store answers. It returns false if the context ends first.
	AwaitReturn(ctx context.Context) bool
	// Recheck calls the store if it wasn't called for some time, and reports whether it answers.
	Recheck(ctx context.Context) bool
}

// Outcomes of buffering a submission, as metric labels.
const (
	bufferingReturned = "store_returned"
	bufferingExpired  = "time_over"
	bufferingRefused  = "no_room"
)

// unavailableError reports that a submission was not sent to the store because the store is
// unavailable.
type unavailableError struct {
	unavailableFor time.Duration
	bufferedFor    time.Duration
}

// Error implements error.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("store unavailable: away_ms=%d held_ms=%d", e.unavailableFor.Milliseconds(), e.bufferedFor.Milliseconds())
}

// bufferWhileUnavailable buffers a submission until the store answers, and reports whether it
// was buffered. Nothing of it is sent to the store meanwhile.
func (s *Service) bufferWhileUnavailable(caller context.Context, submitted Job) (wasBuffered bool, err error) {
	if !s.isStoreUnavailable() {
		return false, nil
	}
	ctx, cancel := context.WithCancel(caller)
	defer cancel()
	// A daemon that stops must not wait for buffered submissions.
	defer context.AfterFunc(s.stopped, cancel)()
	started := time.Now()
	remove, isBuffered := s.submissions.Add(submitted.contentBytes())
	switch {
	case isBuffered:
	case s.availability.Recheck(ctx):
		// A submission that doesn't fit the buffer must not be refused after the store has returned.
		return false, nil
	default:
		return false, s.endBuffering(submitted, started, bufferingRefused)
	}
	defer remove()
	s.log.Info("job_held", "job", submitted.ID, "items", len(submitted.Items), "bytes", submitted.contentBytes(), "held", s.submissions.Count(), "away_ms", s.unavailableFor(started).Milliseconds())
	if s.availability.AwaitReturn(ctx) {
		return true, s.endBuffering(submitted, started, bufferingReturned)
	}
	return true, s.endBuffering(submitted, started, bufferingExpired)
}

// endBuffering records the outcome of buffering, and returns the error for the caller unless
// the store has returned.
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

// isStoreUnavailable reports whether submissions are buffered.
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

// awaitStore waits until the store answers. It returns false if the context ends first.
func (s *Service) awaitStore(ctx context.Context) bool {
	return s.availability == nil || s.availability.AwaitReturn(ctx)
}

// isBufferable reports whether a failed submission may be buffered and sent again: it cannot
// take effect any more, and its caller still waits.
func isBufferable(ctx context.Context, err error) bool {
	failed := failure.From(err)
	return err != nil && ctx.Err() == nil && failed.Kind == failure.KindUnavailable && failed.NotRun && failed.Code != codeCancelledEarly
}

// contentBytes returns the size of all item bodies.
func (j *Job) contentBytes() int {
	total := 0
	for index := range j.Items {
		total += len(j.Items[index].Body)
	}
	return total
}
