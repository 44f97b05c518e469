package quota

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// commitTime is the duration of a commit. Commits on one partition are sequential.
const commitTime = 4 * time.Millisecond

// partitionStore executes the commits of one partition sequentially, refuses them while it
// is unavailable, and counts conflicts.
type partitionStore struct {
	*tabletest.Memory
	partition     sync.Mutex
	isUnavailable atomic.Bool
	conflicts     atomic.Int64
}

func (s *partitionStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if s.isUnavailable.Load() {
		return 0, &table.Error{Kind: table.ErrorNotDone, Call: "commit"}
	}
	s.partition.Lock()
	defer s.partition.Unlock()
	time.Sleep(commitTime)
	version, err := s.Memory.Commit(ctx, transaction)
	if err != nil {
		s.conflicts.Add(1)
	}
	return version, err
}

// TestReservationsCommitSoonAfterOutage guards against conflicts and long pauses after an
// outage of the store, which made the reservations of many daemons fail.
func TestReservationsCommitSoonAfterOutage(t *testing.T) {
	const daemons = 40
	store := &partitionStore{Memory: tabletest.NewMemory()}
	store.isUnavailable.Store(true)
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for number := range daemons {
		group.Go(func() {
			account := newLedger(store, testAccount)
			_, err := account.apply(ctx, Limit{Tokens: 1000, Config: 1}, []Operation{{Kind: KindReserve, Job: fmt.Sprint(number), Tokens: 1, Holder: "h"}})
			require.NoError(t, err)
		})
	}
	time.Sleep(2 * time.Second)
	returned := time.Now()
	store.isUnavailable.Store(false)
	group.Wait()
	took := time.Since(returned)
	t.Logf("took=%v conflicts=%d", took, store.conflicts.Load())
	require.EqualValues(t, daemons, requireSum(t, store.Memory))
	// The limit allows for a busy machine.
	require.Less(t, took, 8*time.Second)
}

// TestCoordinatorWithoutStoreIsNotAvoided guards against daemons that avoid a coordinator
// because the store does not answer it, and commit in conflict with each other.
func TestCoordinatorWithoutStoreIsNotAvoided(t *testing.T) {
	store := &partitionStore{Memory: tabletest.NewMemory()}
	peers := &countingCoordinator{Accounts: newAccounts(store, &coordinatorPeers{isSelf: true}), err: unavailable(nil)}
	accounts := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	_, err := accounts.Reserve(t.Context(), testAccount, limit, "one", 1, "h")
	require.NoError(t, err)
	peers.err = nil
	_, err = accounts.Reserve(t.Context(), testAccount, limit, "two", 1, "h")
	require.NoError(t, err)
	require.Equal(t, 2, peers.asked)
}

// countingCoordinator is a coordinator that counts its requests.
type countingCoordinator struct {
	*Accounts
	err   error
	asked int
}

func (p *countingCoordinator) Coordinator(string) (string, bool) { return "keeper", false }
func (p *countingCoordinator) Announce(string)                   {}
func (p *countingCoordinator) Apply(ctx context.Context, _ string, request Request) (Answer, error) {
	p.asked++
	if p.err != nil {
		return Answer{}, p.err
	}
	return p.Serve(ctx, request)
}

// TestReservationsPrecedeRepeatedOperations checks the order of the queue: only reservations
// have waiting callers.
func TestReservationsPrecedeRepeatedOperations(t *testing.T) {
	queue := []*pending{}
	for _, kind := range []Kind{KindSettle, KindReserve, KindSettle, KindReserve, KindRelease} {
		queue = insertByUrgency(queue, &pending{operations: []Operation{{Kind: kind, Job: fmt.Sprint(len(queue))}}})
	}
	jobs := []string{}
	for _, each := range queue {
		jobs = append(jobs, each.operations[0].Job)
	}
	require.Equal(t, []string{"1", "3", "0", "2", "4"}, jobs)
}
