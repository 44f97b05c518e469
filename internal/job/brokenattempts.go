package job

import (
	"time"

	"topazpulley/internal/serving"
)

const (
	// quickRetries is how many attempts in a row may break before the pauses grow: most such items
	// ran beside what ended the backend, and are sound.
	quickRetries = 2
	// maxBrokenPause is the longest time before an item is sent again after broken attempts.
	maxBrokenPause = 2 * time.Second
)

// brokenAttempts paces an item under which backends end, so that one item does not end backend after
// backend as fast as it can be sent. It belongs to the goroutine that runs the item's attempt. A new
// owner of the item starts the count anew: checkpoints have a fixed schema without it.
type brokenAttempts struct {
	// inRow counts attempts in a row under which a backend ended.
	inRow int
	// lastEvent is the last event before the current attempt.
	lastEvent int64
}

// begin records the last event before an attempt.
func (b *brokenAttempts) begin(lastEvent int64) { b.lastEvent = lastEvent }

// yielded records that an attempt was taken back while its backend lived. If it had events, the item
// does not end each backend that runs it.
func (b *brokenAttempts) yielded(lastEvent int64) {
	if lastEvent > b.lastEvent {
		b.inRow = 0
	}
}

// broke records that a backend ended under an attempt.
func (b *brokenAttempts) broke() { b.inRow++ }

// pause returns the time before the item is sent again. random is from 0 to 1, and slacks are the times
// until the item must run in order to end by each of its deadlines. A deadline that is missed anyway
// has none left, and no longer shortens the pause.
func (b *brokenAttempts) pause(random float64, slacks ...time.Duration) time.Duration {
	nominal := failedPause
	for count := quickRetries; count < b.inRow && nominal < maxBrokenPause; count++ {
		nominal = min(2*nominal, maxBrokenPause)
	}
	pause := nominal/2 + time.Duration(random*float64(nominal/2))
	for _, slack := range slacks {
		if slack > 0 {
			pause = min(pause, slack)
		}
	}
	return max(pause, failedPause)
}

// endedBackend reports whether a failed attempt looks as if its backend ended: the connection broke
// before the answer was complete.
func endedBackend(failed *serving.AttemptError) bool {
	return failed.Outcome == serving.OutcomeUnknown && failed.Reason == serving.ReasonBroken
}

// slacks returns the times until an item must run in order to end by its due time and before it is
// given up, by the estimate of its run time.
func (s *Service) slacks(item *ownedItem, now time.Time) []time.Duration {
	owner := item.owner
	remaining := remainingTime(s.itemTime(), owner.ranFor(item, now))
	slacks := []time.Duration{owner.due.Sub(now) - remaining}
	if !owner.giveUp.IsZero() {
		slacks = append(slacks, owner.giveUp.Add(-giveUpMargin).Sub(now)-remaining)
	}
	return slacks
}
