package table_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

const (
	followedTable = "followed"
	testTimeout   = 20 * time.Second
	pollTime      = 5 * time.Millisecond
)

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// recorder keeps the rows that a follower passes on, and all values of the row
// "counter" in order.
type recorder struct {
	mutex   sync.Mutex
	rows    map[string]string
	counter []string
}

func (r *recorder) Replace(rows []table.Row, version table.Version) {
	r.mutex.Lock()
	r.rows = map[string]string{}
	r.mutex.Unlock()
	r.Change(rows, version)
}

func (r *recorder) Change(rows []table.Row, _ table.Version) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, row := range rows {
		if row.Deleted {
			delete(r.rows, row.Key)
			continue
		}
		r.rows[row.Key] = string(row.Value)
		if row.Key == "counter" {
			r.counter = append(r.counter, string(row.Value))
		}
	}
}

func (r *recorder) value(key string) string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.rows[key]
}

// keys returns the keys of the rows.
func (r *recorder) keys() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Collect(maps.Keys(r.rows))
}

func remove(t *testing.T, store *tabletest.Memory, key string) {
	t.Helper()
	_, err := store.Commit(t.Context(), table.Transaction{Removals: []table.Removal{{Table: followedTable, Key: key}}})
	require.NoError(t, err)
}

func put(t *testing.T, store *tabletest.Memory, partition, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), table.Transaction{Partition: partition, Writes: []table.Write{{Table: followedTable, Key: key, Value: []byte(value)}}})
	require.NoError(t, err)
}

func follow(t *testing.T, store table.Store, consumer table.Consumer) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	follower := &table.Follower{Store: store, Table: followedTable, Consumer: consumer, Logger: discardLogger, Wait: 50 * time.Millisecond, Partitioned: true}
	go follower.Run(ctx)
}

// TestFollowerSeesChangesOfAllPartitions guards against missing existing, added or removed
// rows in any partition.
func TestFollowerSeesChangesOfAllPartitions(t *testing.T) {
	store, seen := tabletest.NewMemory(), &recorder{}
	put(t, store, "p1", "a", "1")
	follow(t, table.NewMonotonic(store), seen)
	require.Eventually(t, func() bool { return seen.value("a") == "1" }, testTimeout, pollTime)
	put(t, store, "p2", "b", "2")
	require.Eventually(t, func() bool { return seen.value("b") == "2" }, testTimeout, pollTime)
	_, err := store.Commit(t.Context(), table.Transaction{Partition: "p1", Removals: []table.Removal{{Table: followedTable, Key: "a"}}})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return seen.value("a") == "" }, testTimeout, pollTime)
}

// TestFollowerNeverGoesBack guards against passing on an older state while the store
// compacts, serves stale reads and refuses calls, and against missing the final state.
func TestFollowerNeverGoesBack(t *testing.T) {
	store, seen := tabletest.NewMemory(), &recorder{}
	put(t, store, "", "counter", "0000")
	follow(t, table.NewMonotonic(store), seen)
	for round := 1; round <= 30; round++ {
		if round%5 == 0 {
			store.Freeze()
		}
		put(t, store, "", "counter", fmt.Sprintf("%04d", round))
		if round%5 == 0 {
			store.Compact()
			time.Sleep(20 * time.Millisecond)
			store.Thaw()
		}
		refusals := round % 3
		store.SetDecide(func(string) tabletest.Fault {
			if refusals > 0 {
				refusals--
				return tabletest.FaultRefuse
			}
			return tabletest.FaultNone
		})
		time.Sleep(3 * time.Millisecond)
		store.SetDecide(nil)
	}
	require.Eventually(t, func() bool { return seen.value("counter") == "0030" }, testTimeout, pollTime)
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	for index := 1; index < len(seen.counter); index++ {
		require.LessOrEqual(t, seen.counter[index-1], seen.counter[index], "an older state was passed on")
	}
}

// TestStaleReadIsRefused guards against reading a state older than one already seen.
func TestStaleReadIsRefused(t *testing.T) {
	memory := tabletest.NewMemory()
	store := table.NewMonotonic(memory)
	put(t, memory, "", "a", "1")
	memory.Freeze()
	put(t, memory, "", "a", "2")
	_, err := store.Watch(t.Context(), followedTable, 1, time.Second)
	require.NoError(t, err)
	_, err = store.Read(t.Context(), table.Range{Table: followedTable})
	var failed *table.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, table.ErrorNotDone, failed.Kind)
	memory.Thaw()
	page, err := store.Read(t.Context(), table.Range{Table: followedTable})
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	require.Equal(t, "2", string(page.Rows[0].Value))
}

// TestPaceLimitsWatches guards against a call for each change, and against lost changes,
// when calls are rate limited.
func TestPaceLimitsWatches(t *testing.T) {
	const changes, perSecond, burst = 300, 20, 2
	store := &countingStore{Memory: tabletest.NewMemory()}
	seen := &recorder{rows: map[string]string{}}
	follower := &table.Follower{
		Store: store, Table: followedTable, Consumer: seen, Logger: discardLogger, Wait: 50 * time.Millisecond, Pace: rate.NewLimiter(perSecond, burst),
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	started := time.Now()
	go follower.Run(ctx)
	for number := range changes {
		_, err := store.Commit(ctx, table.Transaction{Writes: []table.Write{{Table: followedTable, Key: "counter", Value: []byte(fmt.Sprint(number))}}})
		require.NoError(t, err)
		time.Sleep(time.Millisecond)
	}
	require.Eventually(t, func() bool { return seen.value("counter") == fmt.Sprint(changes-1) }, testTimeout, pollTime)
	cancel()
	allowed := burst + perSecond*time.Since(started).Seconds() + 1
	require.LessOrEqual(t, float64(store.watches.Load()), allowed)
}

// countingStore counts watch calls.
type countingStore struct {
	*tabletest.Memory
	watches atomic.Int64
}

func (s *countingStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	s.watches.Add(1)
	return s.Memory.Watch(ctx, name, after, wait)
}
