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

// callerTimeout is the timeout of the submissions of a test.
const callerTimeout = 5 * time.Second

// outage makes a store unavailable and counts commit calls.
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

// awaitUnavailable waits until the daemons have detected the outage.
func awaitUnavailable(t *testing.T, daemons ...*daemon) {
	t.Helper()
	for _, each := range daemons {
		require.Eventually(t, each.IsStoreUnavailable, testTimeout, pollInterval)
	}
}

// submitAll submits a job to each daemon with a timeout of callerTimeout.
func submitAll(t *testing.T, daemons []*daemon, prefix string) *sync.WaitGroup {
	group := &sync.WaitGroup{}
	for number, each := range daemons {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			if err := each.Submit(ctx, sizedJob(fmt.Sprint(prefix, number), 1)); err != nil {
				t.Errorf("job %d: %v", number, err)
			}
		})
	}
	return group
}

// TestBufferedJobsAreAcceptedAfterOutage: during a store outage shorter than the callers'
// timeouts nothing is committed. All buffered jobs are accepted within two seconds after it.
func TestBufferedJobsAreAcceptedAfterOutage(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	daemons := []*daemon{}
	for number := range 12 {
		daemons = append(daemons, startWithTokenLimit(t, fmt.Sprint("d", number), store, fake, 0, 1000))
	}
	storeOutage := startOutage(store)
	awaitUnavailable(t, daemons...)
	group := submitAll(t, daemons, "j")
	time.Sleep(2 * time.Second)
	require.Zero(t, storeOutage.commits.Load(), "buffered submissions were committed")
	storeOutage.end()
	returned := time.Now()
	group.Wait()
	require.Less(t, time.Since(returned), 2*time.Second)
}

// TestBufferedSubmissionEndsWithCaller: a buffered submission whose caller leaves is removed
// from the buffer, and its job does not exist afterwards.
func TestBufferedSubmissionEndsWithCaller(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	storeOutage := startOutage(store)
	awaitUnavailable(t, owner)
	ctx, leave := context.WithCancel(t.Context())
	answered := make(chan error, 1)
	go func() { answered <- owner.Submit(ctx, newJob("j1", 5)) }()
	require.Eventually(t, func() bool { return owner.Buffered() == 1 }, testTimeout, pollInterval)
	leave()
	require.True(t, failure.From(<-answered).NotRun)
	require.Zero(t, owner.Buffered())
	storeOutage.end()
	require.Eventually(t, func() bool { return !owner.IsStoreUnavailable() }, testTimeout, pollInterval)
	_, err := owner.Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindNotFound), "%v", err)
}

// TestTooLargeSubmissionFailsAtOnceInOutage: a submission that does not fit the buffer fails
// at once, with a time to retry after.
func TestTooLargeSubmissionFailsAtOnceInOutage(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	startOutage(store)
	awaitUnavailable(t, owner)
	large := newJob("large", 1)
	large.Items[0].Body = make([]byte, testSubmissionLimits.Bytes)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	started := time.Now()
	err := owner.Submit(ctx, large)
	require.Less(t, time.Since(started), testTimeout/10)
	require.True(t, failure.From(err).NotRun)
	require.GreaterOrEqual(t, failure.From(err).RetryAfter, 500*time.Millisecond)
}

// TestLargeSubmissionAcceptedAfterStoreRecovery: a daemon that has made no store call since
// the store recovered must accept a job that is too large to be buffered.
func TestLargeSubmissionAcceptedAfterStoreRecovery(t *testing.T) {
	refused := tabletest.NewMemory()
	availability := table.NewAvailability(refused, job.ClaimTable)
	refused.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	started := startService(t, "a", tabletest.NewMemory(), newFakeBackends(), 0, 0)
	started.SetAvailability(availability)
	for range 3 {
		_, err := availability.Read(t.Context(), table.Range{Table: job.ClaimTable, Limit: 1})
		require.Error(t, err)
	}
	require.True(t, started.IsStoreUnavailable())
	large := newJob("large", 1)
	large.Items[0].Body = make([]byte, 2*testSubmissionLimits.Bytes)
	require.True(t, failure.Is(started.Submit(t.Context(), large), failure.KindUnavailable), "the store is unavailable")
	refused.SetDecide(nil)
	require.Eventually(t, func() bool { return started.Submit(t.Context(), large) == nil }, testTimeout, 10*pollInterval)
}

// TestKnownJobIsAcknowledgedInOutage: a known job is acknowledged without the store.
func TestKnownJobIsAcknowledgedInOutage(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	startOutage(store)
	awaitUnavailable(t, owner)
	require.NoError(t, owner.Submit(t.Context(), accepted))
}

// TestBufferedUnsettledAcceptanceIsNotReportedNotRun: a submission that times out in the buffer
// after an unsettled acceptance attempt must not be reported as not run.
func TestBufferedUnsettledAcceptanceIsNotReportedNotRun(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
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
	require.True(t, owner.IsStoreUnavailable())
	require.False(t, failure.From(err).NotRun, "reported as not run although the job may be accepted")
	store.SetDecide(nil)
	store.Settle()
	requireAllCompleted(t, owner, submitted)
}
