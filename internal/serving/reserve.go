package serving

import (
	"context"
	"time"

	"topazpulley/internal/route"
)

const (
	// leastQuestions and mostQuestions bound how many backends are asked for a
	// place, one in questionShare of a service's; then the request waits at one.
	leastQuestions = 3
	mostQuestions  = 8
	questionShare  = 8
	// reservationTime is how long a place is set aside.
	reservationTime = 200 * time.Millisecond
	// reservationPatience bounds one question.
	reservationPatience = 60 * time.Millisecond
)

// Reserver sets places aside at backends.
type Reserver interface {
	// Reserve sets a slot and memory for so many tokens aside for a time, and
	// names the place. An error is an *AttemptError that tells not run.
	Reserve(ctx context.Context, wanted Reservation) (string, error)
}

// Reservation is a place that is wanted at a backend.
type Reservation struct {
	Attempt
	Tokens int
	Time   time.Duration
}

// placesOf returns who sets places aside at the backends of a service, and for
// how long at most. It reports false when they set none aside.
func placesOf(sender Sender, table *route.Table, service string) (Reserver, time.Duration, bool) {
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

// Reserve asks a backend for a place for an attempt, if backends of its
// service set places aside, and notes the place in the attempt. Daemons choose
// at once from pictures that are a moment old; only the backend knows. An error
// tells that the backend has no room or cannot be reached; nothing has run.
func Reserve(ctx context.Context, sender Sender, table *route.Table, attempt *Attempt, tokens int) error {
	reserver, longest, found := placesOf(sender, table, attempt.Instance.Service)
	if tokens == 0 || !found {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, reservationPatience)
	defer cancel()
	place, err := reserver.Reserve(bounded, Reservation{Attempt: *attempt, Tokens: tokens, Time: min(reservationTime, longest)})
	attempt.Reservation = place
	return err
}

// questions is how many backends are asked for a place where a service has so
// many: the more there are, the likelier one has room.
func questions(backends int) int {
	return min(max(backends/questionShare, leastQuestions), mostQuestions)
}
