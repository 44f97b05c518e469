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

// ageWitness notes how old the follower says its table is while rows are handed on.
type ageWitness struct {
	recorder
	follower *table.Follower
	youngest atomic.Int64
}

func (w *ageWitness) Change(rows []table.Row, version table.Version) {
	if len(rows) > 0 {
		w.youngest.Store(int64(w.follower.Age()))
	}
	w.recorder.Change(rows, version)
}

// lateStore gives its answers to watches so long after they were made, and does not
// tell when that was.
type lateStore struct {
	table.Store
	late time.Duration
}

func (s *lateStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	changes, err := s.Store.Watch(ctx, name, after, wait)
	time.Sleep(s.late)
	changes.AsOf = 0
	return changes, err
}

// TestAgeIsNeverTooShort: rows that are being handed on are not yet counted, an
// answer that waited on its way counts from before it was made, and sleep of the
// machine counts.
func TestAgeIsNeverTooShort(t *testing.T) {
	const late = 150 * time.Millisecond
	memory := tabletest.NewMemory()
	store := &lateStore{Store: memory, late: late}
	slept := atomic.Int64{}
	witness := &ageWitness{}
	witness.follower = &table.Follower{
		Store: store, Table: followed, Consumer: witness, Logger: quiet, Wait: 50 * time.Millisecond,
		Clock: func() boottime.Instant { return boottime.Now().Add(time.Duration(slept.Load())) },
	}
	require.Greater(t, witness.follower.Age(), time.Hour, "nothing was told yet")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go witness.follower.Run(ctx)
	put(t, memory, "", "counter", "1")
	require.Eventually(t, func() bool { return witness.value("counter") == "1" }, patience, pollTime)
	for _, value := range []string{"2", "3", "4"} {
		put(t, memory, "", "counter", value)
		require.Eventually(t, func() bool { return witness.value("counter") == value }, patience, pollTime)
		require.GreaterOrEqual(t, time.Duration(witness.youngest.Load()), late)
		require.GreaterOrEqual(t, witness.follower.Age(), late)
	}
	cancel()
	slept.Store(int64(time.Minute))
	require.GreaterOrEqual(t, witness.follower.Age(), time.Minute)
}
