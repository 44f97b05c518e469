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

// commitTime is what a commit on one partition takes: they come one after another.
const commitTime = 4 * time.Millisecond

// partitionStore takes the commits of one partition one after another, refuses them
// while it is away, and counts those that conflict.
type partitionStore struct {
	*tabletest.Memory
	partition sync.Mutex
	isAway    atomic.Bool
	conflicts atomic.Int64
}

func (s *partitionStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if s.isAway.Load() {
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

// TestReservationsBehindAnOutageAreCommittedSoon: forty daemons hold a reservation each
// when the store comes back after two seconds. With pauses that had grown through the
// outage, and pictures as old as the pauses, nearly all commits conflicted: callers of
// 1.4 seconds were refused for eight seconds behind an outage of seven.
func TestReservationsBehindAnOutageAreCommittedSoon(t *testing.T) {
	const daemons = 40
	store := &partitionStore{Memory: tabletest.NewMemory()}
	store.isAway.Store(true)
	var group sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for number := range daemons {
		group.Go(func() {
			held := newLedger(store, testAccount)
			_, err := held.apply(ctx, Limit{Tokens: 1000, Config: 1}, []Operation{{Kind: KindReserve, Job: fmt.Sprint(number), Tokens: 1, Holder: "h"}})
			require.NoError(t, err)
		})
	}
	time.Sleep(2 * time.Second)
	returned := time.Now()
	store.isAway.Store(false)
	group.Wait()
	took := time.Since(returned)
	t.Logf("took=%v conflicts=%d", took, store.conflicts.Load())
	require.EqualValues(t, daemons, requireSum(t, store.Memory))
	// Half of what it took with pauses that had grown; beside busy processes it takes 3.5 s.
	require.Less(t, took, 8*time.Second)
}

// TestKeeperThatWaitsForTheStoreIsAskedAgain: it said that the store does not answer, so
// it lives. Daemons that passed it by for that committed beside each other.
func TestKeeperThatWaitsForTheStoreIsAskedAgain(t *testing.T) {
	store := &partitionStore{Memory: tabletest.NewMemory()}
	peers := &countingKeeper{Accounts: newAccounts(store, &keeperPeers{isSelf: true}), err: unavailable(nil)}
	accounts := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	_, err := accounts.Reserve(t.Context(), testAccount, limit, "one", 1, "h")
	require.NoError(t, err)
	peers.err = nil
	_, err = accounts.Reserve(t.Context(), testAccount, limit, "two", 1, "h")
	require.NoError(t, err)
	require.Equal(t, 2, peers.asked)
}

// countingKeeper is a keeper that counts how often it is asked.
type countingKeeper struct {
	*Accounts
	err   error
	asked int
}

func (p *countingKeeper) Coordinator(string) (string, bool) { return "keeper", false }
func (p *countingKeeper) Announce(string)                   {}
func (p *countingKeeper) Apply(ctx context.Context, _ string, request Request) (Answer, error) {
	p.asked++
	if p.err != nil {
		return Answer{}, p.err
	}
	return p.Serve(ctx, request)
}

// TestReservationsGoBeforeWhatIsRepeated: callers wait for reservations alone.
func TestReservationsGoBeforeWhatIsRepeated(t *testing.T) {
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
