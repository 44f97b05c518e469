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

// deafStore forgets the history while it is deaf: watches are told that it is gone, also
// those that had an answer.
type deafStore struct {
	table.Store
	isDeaf atomic.Bool
}

func (s *deafStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	changes, err := s.Store.Watch(ctx, name, after, wait)
	if s.isDeaf.Load() {
		return table.Changes{}, &table.Error{Kind: table.ErrorCompacted, Call: "watch"}
	}
	return changes, err
}

// TestStaleReadConfirmsNothing: while the store forgets its history, reads lie behind.
// One that is as old as what is known cannot be told from the present state; it was
// counted as that, and a table from which a row had gone was said to be fresh for as long
// as reads lay behind.
func TestStaleReadConfirmsNothing(t *testing.T) {
	const behind = 600 * time.Millisecond
	memory, witness := tabletest.NewMemory(), &recorder{}
	store := &deafStore{Store: memory}
	follower := &table.Follower{Store: table.NewMonotonic(store), Table: followed, Consumer: witness, Logger: quiet, Wait: 50 * time.Millisecond}
	go follower.Run(t.Context())
	put(t, memory, "", "claim", "held")
	require.Eventually(t, func() bool { return witness.value("claim") == "held" && follower.Age() < time.Second }, patience, pollTime)
	memory.Freeze()
	store.isDeaf.Store(true)
	removed := time.Now()
	put(t, memory, "", "claim", "")
	for time.Since(removed) < behind {
		least := time.Since(removed)
		require.Greater(t, follower.Age(), least, "what is gone is said to be there")
		time.Sleep(pollTime)
	}
	require.Equal(t, "held", witness.value("claim"))
	memory.Thaw()
	store.isDeaf.Store(false)
	require.Eventually(t, func() bool { return witness.value("claim") == "" && follower.Age() < behind }, patience, pollTime)
}
