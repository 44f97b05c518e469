package job_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// callerTime is how long the callers of these tests wait at least.
const callerTime = 5 * time.Second

// outage is a store that is away until it is told to return, and the calls that came
// meanwhile.
type outage struct {
	store   *tabletest.Memory
	commits atomic.Int64
}

func startOutage(store *tabletest.Memory) *outage {
	started := &outage{store: store}
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			started.commits.Add(1)
		}
		return tabletest.FaultRefuse
	})
	return started
}

func (o *outage) end() { o.store.SetDecide(nil) }

// awaitAway waits until a daemon knows that the store is away.
func awaitAway(t *testing.T, daemons ...*daemon) {
	t.Helper()
	for _, each := range daemons {
		require.Eventually(t, each.IsStoreAway, patience, pollTime)
	}
}

// submitAll submits a job to each daemon, with callers who wait for callerTime.
func submitAll(t *testing.T, daemons []*daemon, prefix string) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for number, each := range daemons {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), callerTime)
			defer cancel()
			if err := each.Submit(ctx, sizedJob(fmt.Sprint(prefix, number), 1)); err != nil {
				t.Errorf("job %d: %v", number, err)
			}
		})
	}
	return group
}

// TestJobsOfAnOutageAreAcceptedBehindIt: the store is away for two of the five seconds
// that callers wait. Nothing is committed meanwhile, and all are accepted soon: the
// daemons neither tried on one beside the other nor came all at once.
func TestJobsOfAnOutageAreAcceptedBehindIt(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	daemons := []*daemon{}
	for number := range 12 {
		daemons = append(daemons, startBounded(t, fmt.Sprint("d", number), store, runner, 0, 1000))
	}
	away := startOutage(store)
	awaitAway(t, daemons...)
	group := submitAll(t, daemons, "j")
	time.Sleep(2 * time.Second)
	require.Zero(t, away.commits.Load(), "held submissions were tried")
	away.end()
	returned := time.Now()
	group.Wait()
	require.Less(t, time.Since(returned), 2*time.Second)
}

// TestHeldSubmissionEndsWithItsCaller: it takes no memory any more, and nothing of it
// comes to exist.
func TestHeldSubmissionEndsWithItsCaller(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	away := startOutage(store)
	awaitAway(t, owner)
	ctx, leave := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() { answered <- owner.Submit(ctx, newJob("j1", 5)) }()
	require.Eventually(t, func() bool { return owner.Held() == 1 }, patience, pollTime)
	leave()
	require.True(t, failure.From(<-answered).NotRun)
	require.Zero(t, owner.Held())
	away.end()
	require.Eventually(t, func() bool { return !owner.IsStoreAway() }, patience, pollTime)
	_, err := owner.Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound), "%v", err)
}

// TestWhoCannotBeHeldIsToldAtOnce, and when to come back.
func TestWhoCannotBeHeldIsToldAtOnce(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	startOutage(store)
	awaitAway(t, owner)
	large := newJob("large", 1)
	large.Items[0].Body = make([]byte, heldInTests.Bytes)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	started := time.Now()
	err := owner.Submit(ctx, large)
	require.Less(t, time.Since(started), patience/10)
	require.True(t, failure.From(err).NotRun)
	require.GreaterOrEqual(t, failure.From(err).RetryAfter, 500*time.Millisecond)
}

// TestLargeSubmissionBehindAnUnnoticedReturn: a daemon that made no call to the store
// since it was back took it for away, and refused jobs that are too large to be held.
func TestLargeSubmissionBehindAnUnnoticedReturn(t *testing.T) {
	refused := tabletest.NewMemory()
	availability := table.NewAvailability(refused, job.ClaimTable)
	refused.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	started := startSender(t, "a", tabletest.NewMemory(), newRunners(), 0, 0)
	started.HoldBy(availability)
	for range 3 {
		_, err := availability.Read(t.Context(), table.Range{Table: job.ClaimTable, Limit: 1})
		require.Error(t, err)
	}
	require.True(t, started.IsStoreAway())
	large := newJob("large", 1)
	large.Items[0].Body = make([]byte, 2*heldInTests.Bytes)
	require.True(t, failure.Is(started.Submit(t.Context(), large), failure.KindUnavailable), "the store is away")
	refused.SetDecide(nil)
	require.Eventually(t, func() bool { return started.Submit(t.Context(), large) == nil }, patience, 10*pollTime)
}

// TestKnownJobIsAcknowledgedInAnOutage: it needs no store.
func TestKnownJobIsAcknowledgedInAnOutage(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	startOutage(store)
	awaitAway(t, owner)
	require.NoError(t, owner.Submit(t.Context(), accepted))
}

// TestUnsettledAcceptanceIsHeldAndNeverPromisedNotRun: the store loses an answer and is
// away then. Its caller's time ends while the submission is held.
func TestUnsettledAcceptanceIsHeldAndNeverPromisedNotRun(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	commits := 0
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			commits++
			if commits == 1 {
				return tabletest.FaultLate
			}
		}
		if commits == 0 {
			return tabletest.FaultNone
		}
		return tabletest.FaultRefuse
	})
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	submitted := newJob("j1", 5)
	err := owner.Submit(ctx, submitted)
	require.Error(t, err)
	require.True(t, owner.IsStoreAway())
	require.False(t, failure.From(err).NotRun, "promised not run although the job may come to exist")
	store.SetDecide(nil)
	store.Settle()
	requireAllCompleted(t, owner, submitted)
}
