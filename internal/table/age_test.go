package table_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// ageRecorder records the follower's age during each change.
type ageRecorder struct {
	recorder
	follower    *table.Follower
	ageAtChange atomic.Int64
}

func (w *ageRecorder) Change(rows []table.Row, version table.Version) {
	if len(rows) > 0 {
		w.ageAtChange.Store(int64(w.follower.Age()))
	}
	w.recorder.Change(rows, version)
}

// delayedStore delays the answers to watches and removes their AsOf.
type delayedStore struct {
	table.Store
	delay time.Duration
}

func (s *delayedStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	changes, err := s.Store.Watch(ctx, name, after, wait)
	time.Sleep(s.delay)
	changes.AsOf = 0
	return changes, err
}

// TestAgeIsUpperBound guards against an age that is too low: during a change, after a
// delayed answer, and after the machine was suspended.
func TestAgeIsUpperBound(t *testing.T) {
	const delay = 150 * time.Millisecond
	memory := tabletest.NewMemory()
	store := &delayedStore{Store: memory, delay: delay}
	slept := atomic.Int64{}
	recorded := &ageRecorder{}
	recorded.follower = &table.Follower{
		Store: store, Table: followedTable, Consumer: recorded, Logger: discardLogger, Wait: 50 * time.Millisecond,
		Clock: func() boottime.Instant { return boottime.Now().Add(time.Duration(slept.Load())) },
	}
	require.Greater(t, recorded.follower.Age(), time.Hour, "the table was never confirmed")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go recorded.follower.Run(ctx)
	put(t, memory, "", "counter", "1")
	require.Eventually(t, func() bool { return recorded.value("counter") == "1" }, testTimeout, pollTime)
	for _, value := range []string{"2", "3", "4"} {
		put(t, memory, "", "counter", value)
		require.Eventually(t, func() bool { return recorded.value("counter") == value }, testTimeout, pollTime)
		require.GreaterOrEqual(t, time.Duration(recorded.ageAtChange.Load()), delay)
		require.GreaterOrEqual(t, recorded.follower.Age(), delay)
	}
	cancel()
	slept.Store(int64(time.Minute))
	require.GreaterOrEqual(t, recorded.follower.Age(), time.Minute)
}

// compactingStore answers every watch with ErrorCompacted while isCompacted is set.
type compactingStore struct {
	table.Store
	isCompacted atomic.Bool
}

func (s *compactingStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	changes, err := s.Store.Watch(ctx, name, after, wait)
	if s.isCompacted.Load() {
		return table.Changes{}, &table.Error{Kind: table.ErrorCompacted, Call: "watch"}
	}
	return changes, err
}

// TestStaleReadDoesNotConfirm guards against a stale read of the version already seen, during
// a compaction, that resets the age although a row was removed since.
func TestStaleReadDoesNotConfirm(t *testing.T) {
	const staleTime = 600 * time.Millisecond
	memory, recorded := tabletest.NewMemory(), &recorder{}
	store := &compactingStore{Store: memory}
	follower := &table.Follower{Store: table.NewMonotonic(store), Table: followedTable, Consumer: recorded, Logger: discardLogger, Wait: 50 * time.Millisecond}
	go follower.Run(t.Context())
	put(t, memory, "", "claim", "held")
	require.Eventually(t, func() bool { return recorded.value("claim") == "held" && follower.Age() < time.Second }, testTimeout, pollTime)
	memory.Freeze()
	store.isCompacted.Store(true)
	removed := time.Now()
	put(t, memory, "", "claim", "")
	for time.Since(removed) < staleTime {
		elapsed := time.Since(removed)
		require.Greater(t, follower.Age(), elapsed, "a stale read reset the age")
		time.Sleep(pollTime)
	}
	require.Equal(t, "held", recorded.value("claim"))
	memory.Thaw()
	store.isCompacted.Store(false)
	require.Eventually(t, func() bool { return recorded.value("claim") == "" && follower.Age() < staleTime }, testTimeout, pollTime)
}
