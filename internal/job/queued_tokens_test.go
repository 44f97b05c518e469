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

// queuedTokens returns the queued tokens that the store counts for the route.
func queuedTokens(t *testing.T, store table.Store) int64 {
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

func requireNoQueuedTokens(t *testing.T, store table.Store) {
	t.Helper()
	require.Eventually(t, func() bool { return queuedTokens(t, store) == 0 }, testTimeout, pollInterval)
}

// TestFleetKeepsQueuedTokenLimit: jobs submitted to all daemons at once are accepted only up
// to the limit, and all once earlier ones have completed.
func TestFleetKeepsQueuedTokenLimit(t *testing.T) {
	const limit, jobs = 100, 12
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 30 * time.Millisecond
	daemons := []*daemon{}
	for _, name := range []string{"a", "b", "c"} {
		daemons = append(daemons, startWithTokenLimit(t, name, store, fake, 0, limit))
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
		require.Eventually(t, func() bool { return daemons[0].Submit(t.Context(), again) == nil }, testTimeout, pollInterval)
		requireAllCompleted(t, daemons[1], again)
	}
	requireNoQueuedTokens(t, store)
}

// TestResubmittedJobCountsOnce: a resubmitted job is acknowledged and not counted again while
// the account is full.
func TestResubmittedJobCountsOnce(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 50 * time.Millisecond
	first, second := startWithTokenLimit(t, "a", store, fake, 0, 50), startWithTokenLimit(t, "b", store, fake, 0, 50)
	accepted := sizedJob("j1", 5)
	require.NoError(t, first.Submit(t.Context(), accepted))
	require.NoError(t, second.Submit(t.Context(), accepted))
	require.EqualValues(t, 50, queuedTokens(t, store))
	err := second.Submit(t.Context(), sizedJob("j2", 1))
	require.True(t, failure.Is(err, failure.KindOverloaded), "%v", err)
	requireAllCompleted(t, second, accepted)
	require.NoError(t, second.Submit(t.Context(), accepted))
	requireNoQueuedTokens(t, store)
}

// TestTakenOverJobStaysCounted: a takeover does not count a job twice, and the count is zero
// when the job has completed.
func TestTakenOverJobStaysCounted(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 20 * time.Millisecond
	owner, other := startWithTokenLimit(t, "a", store, fake, 0, 300), startWithTokenLimit(t, "b", store, fake, 0, 300)
	accepted := sizedJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	other.peers.markGone("a")
	require.LessOrEqual(t, queuedTokens(t, store), int64(200))
	requireAllCompleted(t, other, accepted)
	requireNoQueuedTokens(t, store)
}

func TestCanceledJobFreesItsTokens(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Second
	owner, other := startWithTokenLimit(t, "a", store, fake, 0, 50), startWithTokenLimit(t, "b", store, fake, 0, 50)
	require.NoError(t, owner.Submit(t.Context(), sizedJob("j1", 5)))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	requireNoQueuedTokens(t, store)
}

// TestReservationOfStoppedDaemonIsSwept: the reservation of an unsettled acceptance is swept after
// its daemon stops. The acceptance must then fail, because its tokens are no longer counted.
func TestReservationOfStoppedDaemonIsSwept(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	stopping, other := startWithTokenLimit(t, "a", store, fake, 0, 50), startWithTokenLimit(t, "b", store, fake, 0, 50)
	commits := 0
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			commits++
		}
		if call == "commit" && commits > 1 {
			return tabletest.FaultLate // the first commit reserves, the others accept
		}
		return tabletest.FaultNone
	})
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	err := stopping.Submit(ctx, sizedJob("j1", 5))
	require.True(t, failure.Is(err, failure.KindOutcomeUnknown), "%v", err)
	stopping.cancel()
	store.SetDecide(nil)
	require.EqualValues(t, 50, queuedTokens(t, store))
	requireNoQueuedTokens(t, store)
	store.Settle()
	_, err = other.Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound), "a voided acceptance took effect: %v", err)
	again := sizedJob("j1", 5)
	require.NoError(t, other.Submit(t.Context(), again))
	requireAllCompleted(t, other, again)
	requireNoQueuedTokens(t, store)
}

// TestRefusedAttemptKeepsUnsettledReservation: a refused attempt must not release the tokens of an
// unsettled acceptance at another daemon, which may still take effect.
func TestRefusedAttemptKeepsUnsettledReservation(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Second
	first, second := startWithTokenLimit(t, "a", store, fake, 0, 50), startWithTokenLimit(t, "b", store, fake, 0, 50)
	submit := func(to *daemon, faultless int, fault tabletest.Fault) error {
		commits := 0
		store.SetDecide(func(call string) tabletest.Fault {
			if call == "commit" {
				commits++
			}
			if call == "commit" && commits > faultless {
				return fault
			}
			return tabletest.FaultNone
		})
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		defer store.SetDecide(nil)
		return to.Submit(ctx, sizedJob("j1", 5))
	}
	// A daemon receives the state of an account with its first commit to it.
	require.True(t, failure.Is(second.Submit(t.Context(), sizedJob("large", 6)), failure.KindOverloaded))
	require.True(t, failure.Is(first.Submit(t.Context(), sizedJob("large", 6)), failure.KindOverloaded))
	require.True(t, failure.Is(submit(first, 1, tabletest.FaultLate), failure.KindOutcomeUnknown))
	// Its reservation takes two commits: the first finds the total changed.
	require.True(t, failure.From(submit(second, 2, tabletest.FaultRefuse)).NotRun)
	require.Never(t, func() bool { return queuedTokens(t, store) < 50 }, 500*time.Millisecond, pollInterval)
}

// voidingStore voids a job before its first acceptance is committed, as a sweep does, and keeps the
// reservation that it read.
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

// TestSweepKeepsNewReservation: a job is voided, reserved again and accepted. The sweep must
// free only the reservation that it read.
func TestSweepKeepsNewReservation(t *testing.T) {
	store, fake := &voidingStore{Memory: tabletest.NewMemory()}, newFakeBackends()
	fake.pause = time.Second
	owner := startWithTokenLimit(t, "a", store, fake, 0, 50)
	require.NoError(t, owner.Submit(t.Context(), sizedJob("j1", 5)))
	require.NotEmpty(t, store.seen.Holder)
	sweeper := quota.NewAccounts(store, soleCoordinator{}, telemetry.NewQuota(prometheus.NewRegistry()), discardLogger)
	_, err := sweeper.Apply(t.Context(), "jobs", quota.Limit{Tokens: 50, Config: 1}, []quota.Operation{{Kind: quota.KindRelease, Job: "j1", Holder: store.seen.Holder}})
	require.NoError(t, err)
	require.EqualValues(t, 50, queuedTokens(t, store))
}
