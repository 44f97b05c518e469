package job_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/quota"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
	"topazpulley/internal/telemetry"
)

const itemTokens = 10

func sizedJob(id string, items int) job.Job {
	made := newJob(id, items)
	for index := range made.Items {
		made.Items[index].Tokens = itemTokens
	}
	return made
}

// waitingTokens reads what the store counts on the tests' route.
func waitingTokens(t *testing.T, store table.Store) int64 {
	t.Helper()
	page, err := store.Read(context.Background(), table.Range{Table: "quota_total", Partition: "jobs"})
	require.NoError(t, err)
	total := struct {
		Waiting int64 `json:"waiting"`
	}{}
	for _, row := range page.Rows {
		require.NoError(t, json.Unmarshal(row.Value, &total))
	}
	return total.Waiting
}

func requireNothingWaits(t *testing.T, store table.Store) {
	t.Helper()
	require.Eventually(t, func() bool { return waitingTokens(t, store) == 0 }, patience, pollTime)
}

// TestFleetKeepsTheBoundOnWaitingTokens: jobs come to all daemons at once; no
// more are accepted than fit, and all are once earlier ones have ended.
func TestFleetKeepsTheBoundOnWaitingTokens(t *testing.T) {
	const limit, jobs = 100, 12
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 30 * time.Millisecond
	daemons := []*daemon{}
	for _, name := range []string{"a", "b", "c"} {
		daemons = append(daemons, startBounded(t, name, store, runner, 0, limit))
	}
	var accepted atomic.Int64
	var group sync.WaitGroup
	for number := range jobs {
		group.Go(func() {
			err := daemons[number%len(daemons)].Submit(t.Context(), sizedJob(fmt.Sprint("j", number), 5))
			if err == nil {
				accepted.Add(1)
				return
			}
			require.True(t, failure.Is(err, failure.KindOverloaded), "%v", err)
			require.True(t, failure.From(err).NotRun)
		})
	}
	group.Wait()
	require.EqualValues(t, limit/(5*itemTokens), accepted.Load())
	for number := range jobs {
		again := sizedJob(fmt.Sprint("j", number), 5)
		require.Eventually(t, func() bool { return daemons[0].Submit(t.Context(), again) == nil }, patience, pollTime)
		requireAllCompleted(t, daemons[1], again)
	}
	requireNothingWaits(t, store)
}

// TestResentJobCountsOnceAndIsNeverRefused: a job whose 202 was lost is sent
// again while the account is full.
func TestResentJobCountsOnceAndIsNeverRefused(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 50 * time.Millisecond
	first, second := startBounded(t, "a", store, runner, 0, 50), startBounded(t, "b", store, runner, 0, 50)
	accepted := sizedJob("j1", 5)
	require.NoError(t, first.Submit(t.Context(), accepted))
	require.NoError(t, second.Submit(t.Context(), accepted))
	require.EqualValues(t, 50, waitingTokens(t, store))
	err := second.Submit(t.Context(), sizedJob("j2", 1))
	require.True(t, failure.Is(err, failure.KindOverloaded), "%v", err)
	requireAllCompleted(t, second, accepted)
	require.NoError(t, second.Submit(t.Context(), accepted))
	requireNothingWaits(t, store)
}

// TestTakenOverJobStaysCounted: its owner is killed; the count is neither lost
// nor doubled, and goes down to nothing when the job ends.
func TestTakenOverJobStaysCounted(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = 20 * time.Millisecond
	owner, other := startBounded(t, "a", store, runner, 0, 300), startBounded(t, "b", store, runner, 0, 300)
	accepted := sizedJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	other.peers.kill("a")
	require.LessOrEqual(t, waitingTokens(t, store), int64(200))
	requireAllCompleted(t, other, accepted)
	requireNothingWaits(t, store)
}

// TestEndedJobFreesItsTokens.
func TestEndedJobFreesItsTokens(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Second
	owner, other := startBounded(t, "a", store, runner, 0, 50), startBounded(t, "b", store, runner, 0, 50)
	require.NoError(t, owner.Submit(t.Context(), sizedJob("j1", 5)))
	require.NoError(t, other.End(t.Context(), "j1"))
	requireNothingWaits(t, store)
}

// TestReservationOfADeadDaemonIsSwept: its acceptance never came; one that is
// carried out late must fail, since nothing counts it any more.
func TestReservationOfADeadDaemonIsSwept(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	dying, other := startBounded(t, "a", store, runner, 0, 50), startBounded(t, "b", store, runner, 0, 50)
	commits := 0
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			commits++
		}
		if call == "commit" && commits > 1 {
			return tabletest.FaultLate // the first one reserves, the others accept
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	err := dying.Submit(ctx, sizedJob("j1", 5))
	require.True(t, failure.Is(err, failure.KindOutcomeUnknown), "%v", err)
	dying.cancel()
	store.SetDecide(nil)
	require.EqualValues(t, 50, waitingTokens(t, store))
	requireNothingWaits(t, store)
	store.Settle()
	_, err = other.Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound), "a voided acceptance was carried out: %v", err)
	again := sizedJob("j1", 5)
	require.NoError(t, other.Submit(t.Context(), again))
	requireAllCompleted(t, other, again)
	requireNothingWaits(t, store)
}

// TestRefusedTryKeepsTheReservationOfAnUnsettledOne: the acceptance by one
// daemon is under way with its outcome unknown when another daemon's try is
// refused for sure. The tokens must stay counted: the first may be carried out.
func TestRefusedTryKeepsTheReservationOfAnUnsettledOne(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Second
	first, second := startBounded(t, "a", store, runner, 0, 50), startBounded(t, "b", store, runner, 0, 50)
	submit := func(to *daemon, sound int, fault tabletest.Fault) error {
		commits := 0
		store.SetDecide(func(call string) tabletest.Fault {
			if call == "commit" {
				commits++
			}
			if call == "commit" && commits > sound {
				return fault
			}
			return tabletest.FaultNone
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		defer store.SetDecide(nil)
		return to.Submit(ctx, sizedJob("j1", 5))
	}
	// A daemon's first commit on an account tells it how the account stands.
	require.True(t, failure.Is(second.Submit(t.Context(), sizedJob("large", 6)), failure.KindOverloaded))
	require.True(t, failure.Is(first.Submit(t.Context(), sizedJob("large", 6)), failure.KindOverloaded))
	require.True(t, failure.Is(submit(first, 1, tabletest.FaultLate), failure.KindOutcomeUnknown))
	// Its reservation takes two commits: the first finds the total changed.
	require.True(t, failure.From(submit(second, 2, tabletest.FaultRefuse)).NotRun)
	require.Never(t, func() bool { return waitingTokens(t, store) < 50 }, 500*time.Millisecond, pollTime)
}

// voidingStore voids a job just before its first acceptance is committed, as
// the sweeper of another daemon does, and keeps the reservation that it saw.
type voidingStore struct {
	*tabletest.Memory
	once sync.Once
	seen struct {
		Holder string `json:"holder"`
	}
}

func (s *voidingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	isAcceptance := len(transaction.Conditions) > 0 && transaction.Conditions[0].Table == "job"
	if isAcceptance {
		s.once.Do(func() { s.voidJob(ctx, transaction) })
	}
	return s.Memory.Commit(ctx, transaction)
}

func (s *voidingStore) voidJob(ctx context.Context, transaction table.Transaction) {
	id := transaction.Conditions[0].Key
	page, err := s.Memory.Read(ctx, table.Range{Table: "quota_reservation", Partition: "jobs"})
	if err != nil || len(page.Rows) != 1 || json.Unmarshal(page.Rows[0].Value, &s.seen) != nil {
		panic("the job has no reservation")
	}
	_, _ = s.Memory.Commit(ctx, table.Transaction{Partition: transaction.Partition, Writes: []table.Write{{Table: "void_job", Key: id, Value: []byte("b")}}})
}

// TestSweptReservationIsNotTheNewOne: a job is voided, its daemon reserves anew
// and accepts it; only then the sweeper frees what it saw.
func TestSweptReservationIsNotTheNewOne(t *testing.T) {
	store, runner := &voidingStore{Memory: tabletest.NewMemory()}, newRunners()
	runner.pause = time.Second
	owner := startBounded(t, "a", store, runner, 0, 50)
	require.NoError(t, owner.Submit(t.Context(), sizedJob("j1", 5)))
	require.NotEmpty(t, store.seen.Holder)
	sweeper := quota.NewAccounts(store, alone{}, telemetry.NewQuota(prometheus.NewRegistry()), quiet)
	_, err := sweeper.Apply(t.Context(), "jobs", quota.Limit{Tokens: 50, Config: 1}, []quota.Operation{{Kind: quota.KindRelease, Job: "j1", Holder: store.seen.Holder}})
	require.NoError(t, err)
	require.EqualValues(t, 50, waitingTokens(t, store))
}
