package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table/tabletest"
)

// TestFinishedJobIsNotOwnedAgain: an owner that dropped a finished or cancelled job must not own
// it again because of an older copy of the claims.
func TestFinishedJobIsNotOwnedAgain(t *testing.T) {
	cases := map[string]struct {
		pause  time.Duration
		finish func(t *testing.T, owner, other *daemon)
	}{
		"it received the cancel request": {pause: time.Minute, finish: func(t *testing.T, owner, _ *daemon) {
			require.NoError(t, owner.Cancel(t.Context(), "j1"))
		}},
		"a commit found the claim missing": {pause: 200 * time.Millisecond, finish: func(t *testing.T, _, other *daemon) {
			require.NoError(t, other.Cancel(t.Context(), "j1"))
		}},
		"it listed the last result": {pause: 200 * time.Millisecond, finish: func(*testing.T, *daemon, *daemon) {}},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			fake.pause = each.pause
			stalled := &stalledStore{Store: store}
			owner, other := startDaemon(t, "a", stalled, fake), startDaemon(t, "b", store, fake)
			require.Eventually(t, func() bool { return owner.Followed() > 0 }, testTimeout, pollInterval)
			accepted := newJob("j1", 20)
			require.NoError(t, owner.Submit(t.Context(), accepted))
			// The copy of the claims has the claim and gets no later change.
			require.Eventually(t, func() bool { return owner.Followed() >= store.Version() }, testTimeout, pollInterval)
			stalled.isStalled.Store(true)
			time.Sleep(watchWait)
			require.Eventually(t, func() bool { return fake.total() == len(accepted.Items) }, testTimeout, pollInterval)
			each.finish(t, owner, other)
			require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval)
			for begun := time.Now(); time.Since(begun) < cancelTime+time.Second; time.Sleep(pollInterval) {
				require.Zero(t, owner.Owned(), "the job was owned again")
			}
			require.Equal(t, len(accepted.Items), fake.total(), "items were sent again")
		})
	}
}

// TestRemovedClaimsAreForgotten: recorded claim removals are forgotten once the copy of the
// claims has caught up, for cancelled and finished jobs.
func TestRemovedClaimsAreForgotten(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 50 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	for _, id := range []string{"j1", "j2", "j3"} {
		require.NoError(t, owner.Submit(t.Context(), newJob(id, 5)))
	}
	for range 2 {
		require.NoError(t, other.Cancel(t.Context(), "j1"))
		require.NoError(t, owner.Cancel(t.Context(), "j2"))
	}
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval)
	require.Eventually(t, func() bool { return owner.RemovedClaims() == 0 && other.RemovedClaims() == 0 }, testTimeout, pollInterval)
}
