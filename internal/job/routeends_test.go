package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/job"
	"topazpulley/internal/route"
	"topazpulley/internal/table/tabletest"
)

// startWithoutRoute starts a daemon that has accepted a job of two items and a configuration without its
// route. The items wait: the only backend drains.
func startWithoutRoute(t *testing.T) *daemon {
	t.Helper()
	started := startDaemon(t, "a", tabletest.NewMemory(), newFakeBackends())
	started.backends.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: 100, Draining: true})
	require.NoError(t, started.Submit(t.Context(), newJob("j", 2)))
	started.holder.Apply(route.Config{Version: 2}, time.Now())
	return started
}

// Guards against items that are neither run nor listed until their job's time to give up, because the route
// of their job has ended.
func TestItemsAreAbandonedWhenTheirRouteEnds(t *testing.T) {
	started := startWithoutRoute(t)
	time.Sleep(200 * time.Millisecond)
	results, _ := allResults(t, started, "j")
	require.Empty(t, results, "the configuration is not confirmed")
	started.confirmedAt.Store(time.Now().UnixNano())
	require.Eventually(t, func() bool {
		results, _ = allResults(t, started, "j")
		return len(results) == 2
	}, 5*time.Second, 10*time.Millisecond)
	for _, each := range results {
		require.Equal(t, job.StateAbandoned, each.State)
	}
}

// Guards against items that are abandoned because this daemon doesn't know their route yet.
func TestItemsWaitForRoutesThatAreNotKnownYet(t *testing.T) {
	started := startDaemon(t, "a", tabletest.NewMemory(), newFakeBackends())
	unknown := newJob("j", 2)
	for index := range unknown.Items {
		unknown.Items[index].Path = "/later/run"
	}
	require.NoError(t, started.Submit(t.Context(), unknown))
	started.confirmedAt.Store(time.Now().Add(time.Second).UnixNano())
	time.Sleep(300 * time.Millisecond)
	results, _ := allResults(t, started, "j")
	require.Empty(t, results)
}
