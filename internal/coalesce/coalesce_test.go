package coalesce_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/coalesce"
)

const callTime = time.Second

// Guards against results that are older than the question, and against a call for each caller.
func TestCallServesOnlyThoseWhoAskedBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, calls := coalesce.Group[int]{}, atomic.Int64{}
		call := func() int {
			number := calls.Add(1)
			time.Sleep(callTime)
			return int(number)
		}
		results := make(chan int, 100)
		ask := func() {
			value, isDone := group.Do(t.Context(), 0, call)
			require.True(t, isDone)
			results <- value
		}
		var callers sync.WaitGroup
		callers.Go(ask)
		time.Sleep(callTime / 2)
		for range 50 {
			callers.Go(ask)
		}
		callers.Wait()
		require.Equal(t, 1, <-results)
		for range 50 {
			require.Equal(t, 2, <-results)
		}
		require.EqualValues(t, 2, calls.Load())
	})
}

func TestCallerDoesNotWaitBeyondItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := coalesce.Group[int]{}
		bounded, cancel := context.WithTimeout(t.Context(), callTime/2)
		defer cancel()
		_, isDone := group.Do(bounded, 0, func() int { time.Sleep(callTime); return 1 })
		require.False(t, isDone)
		synctest.Wait()
		time.Sleep(callTime)
	})
}

// Guards against calls as fast as they are answered.
func TestCallsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group, started := coalesce.Group[int]{}, time.Now()
		for range 3 {
			_, isDone := group.Do(t.Context(), callTime, func() int { return 1 })
			require.True(t, isDone)
		}
		require.Equal(t, 2*callTime, time.Since(started))
		time.Sleep(callTime)
	})
}
