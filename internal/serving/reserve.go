package serving

import (
	"context"
	"time"

	"topazpulley/internal/route"
)

const (
	// minAttemptedBackends and maxAttemptedBackends bound the number of backends at which
	// a request attempts a reservation before it waits for a slot. Between the bounds, the
	// number is that of the service's backends divided by backendsPerAttempt.
	minAttemptedBackends = 3
	maxAttemptedBackends = 8
	backendsPerAttempt   = 8
	// reservationTime is how long a reservation is valid.
	reservationTime = 200 * time.Millisecond
	// reservationTimeout bounds one reservation attempt.
	reservationTimeout = 60 * time.Millisecond
)

// Reserver makes reservations at backends.
type Reserver interface {
	// Reserve reserves a slot and memory for the given tokens, for a limited time, and
	// returns the reservation's name. An error is an *AttemptError with OutcomeNotRun.
	Reserve(ctx context.Context, wanted ReservationRequest) (string, error)
}

// ReservationRequest asks for a reservation at a backend.
type ReservationRequest struct {
	Attempt
	Tokens int
	// Time is how long the reservation is valid.
	Time time.Duration
}

// reserverFor returns the reserver for a service's backends and the longest time of a
// reservation. It reports false if the service takes no reservations.
func reserverFor(sender Sender, table *route.Table, service string) (Reserver, time.Duration, bool) {
	reserver, canReserve := sender.(Reserver)
	if !canReserve || table == nil {
		return nil, 0, false
	}
	configured, found := table.Service(service)
	if !found || configured.ReservationTime <= 0 {
		return nil, 0, false
	}
	return reserver, configured.ReservationTime, true
}

// Reserve makes a reservation for an attempt, if the service takes reservations, and
// stores its name in the attempt. It keeps daemons with the same stale view of the load
// from choosing the same slot. An error means that the backend has no free capacity or
// cannot be reached; the request has not run.
func Reserve(ctx context.Context, sender Sender, table *route.Table, attempt *Attempt, tokens int) error {
	reserver, longest, found := reserverFor(sender, table, attempt.Instance.Service)
	if tokens == 0 || !found {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, reservationTimeout)
	defer cancel()
	name, err := reserver.Reserve(bounded, ReservationRequest{Attempt: *attempt, Tokens: tokens, Time: min(reservationTime, longest)})
	attempt.Reservation = name
	return err
}

// attemptedBackends returns the number of backends at which a reservation is attempted,
// given the number of the service's backends.
func attemptedBackends(backends int) int {
	return min(max(backends/backendsPerAttempt, minAttemptedBackends), maxAttemptedBackends)
}
