package table

import (
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
)

// sleeper is the machine of a follower: the clock that counts sleep goes on by what it
// slept.
type sleeper struct {
	started time.Time
	slept   atomic.Int64
}

func (s *sleeper) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(time.Since(s.started)) + boottime.Instant(s.slept.Load())
}

// regained is a follower for which the store has just come back.
func (s *sleeper) regained() *Follower {
	follower := &Follower{Table: "t", Logger: slog.New(slog.DiscardHandler), Clock: s.now}
	follower.note(&Error{Kind: ErrorNotDone, Call: "watch"})
	follower.note(nil)
	follower.noteStore(follower.Now())
	return follower
}

// TestRowsThatAreNotBackYetAreNotGone: the store was away, rows lapsed, and are written
// again within 1.8 s of its return. A machine that sleeps meanwhile has not seen them when
// it wakes, until the store answers again.
func TestRowsThatAreNotBackYetAreNotGone(t *testing.T) {
	for _, span := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &sleeper{started: time.Now()}
				follower := machine.regained()
				require.False(t, follower.IsSettled())
				time.Sleep(returnTime - time.Second)
				machine.slept.Add(int64(span))
				require.False(t, follower.IsSettled(), "nothing was heard since the wake")
				time.Sleep(10 * time.Millisecond)
				require.False(t, follower.IsSettled(), "nothing was heard since the wake")
				follower.noteStore(follower.Now())
				require.True(t, follower.IsSettled())
				machine.slept.Add(int64(time.Minute))
				require.True(t, follower.IsSettled(), "the rows were back before this sleep")
			})
		})
	}
}

// TestTableSettlesWithoutNewsOnAnAwakeMachine: a backend that has left must get nothing
// two seconds after, so that no answer is waited for.
func TestTableSettlesWithoutNewsOnAnAwakeMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &sleeper{started: time.Now()}
		follower := machine.regained()
		time.Sleep(returnTime - time.Millisecond)
		require.False(t, follower.IsSettled())
		time.Sleep(time.Millisecond)
		require.True(t, follower.IsSettled())
		follower.note(&Error{Kind: ErrorNotDone, Call: "watch"})
		time.Sleep(time.Hour)
		require.False(t, follower.IsSettled(), "the store is away")
	})
}
