package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table/tabletest"
)

// TestJobsOfEarlierProcessAreTakenOver guards against jobs that are left lying because their
// owner's next process started under an earlier clock, so that the others take the owner for alive.
func TestJobsOfEarlierProcessAreTakenOver(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 50 * time.Millisecond
	first, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	first.incarnation.Store(3000)
	accepted := newJob("j1", 5)
	require.NoError(t, first.Submit(t.Context(), accepted))
	first.cancel()
	second := startDaemon(t, "a", store, fake)
	second.incarnation.Store(2000)
	second.peers.rank = 20
	requireAllCompleted(t, other, accepted)
}

// TestClaimNamesCurrentIncarnation guards against a process whose incarnation was raised and
// whose new claims look like those of an earlier process.
func TestClaimNamesCurrentIncarnation(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 50 * time.Millisecond
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	owner.incarnation.Store(4000)
	accepted := newJob("j1", 5)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return other.peers.hasBeenAsked(4000) }, testTimeout, pollInterval)
	requireAllCompleted(t, other, accepted)
}
