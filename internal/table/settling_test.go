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

// suspendableMachine provides a boottime clock that includes the time slept.
type suspendableMachine struct {
	started time.Time
	slept   atomic.Int64
}

func (m *suspendableMachine) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(time.Since(m.started)) + boottime.Instant(m.slept.Load())
}

// recoveredFollower returns a follower whose store has just recovered from an outage.
func (m *suspendableMachine) recoveredFollower() *Follower {
	follower := &Follower{Table: "t", Logger: slog.New(slog.DiscardHandler), Clock: m.now}
	follower.recordResult(&Error{Kind: ErrorNotDone, Call: "watch"})
	follower.recordResult(nil)
	follower.recordStoreAnswer(follower.Now())
	return follower
}

// TestSuspendDelaysSettling guards against taking missing rows for removed ones when the
// machine was suspended during rewriteTime and the store hasn't answered since.
func TestSuspendDelaysSettling(t *testing.T) {
	for _, span := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &suspendableMachine{started: time.Now()}
				follower := machine.recoveredFollower()
				require.False(t, follower.IsSettled())
				time.Sleep(rewriteTime - time.Second)
				machine.slept.Add(int64(span))
				require.False(t, follower.IsSettled(), "no answer was received since the suspend")
				time.Sleep(10 * time.Millisecond)
				require.False(t, follower.IsSettled(), "no answer was received since the suspend")
				follower.recordStoreAnswer(follower.Now())
				require.True(t, follower.IsSettled())
				machine.slept.Add(int64(time.Minute))
				require.True(t, follower.IsSettled(), "the rows were complete before this suspend")
			})
		})
	}
}

// TestTableSettlesWithoutAnswer guards against waiting for an answer of the store after
// rewriteTime when the machine was not suspended.
func TestTableSettlesWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &suspendableMachine{started: time.Now()}
		follower := machine.recoveredFollower()
		time.Sleep(rewriteTime - time.Millisecond)
		require.False(t, follower.IsSettled())
		time.Sleep(time.Millisecond)
		require.True(t, follower.IsSettled())
		follower.recordResult(&Error{Kind: ErrorNotDone, Call: "watch"})
		time.Sleep(time.Hour)
		require.False(t, follower.IsSettled(), "the store is unavailable")
	})
}
