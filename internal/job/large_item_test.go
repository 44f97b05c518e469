package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table/tabletest"
)

// TestLargeItemIsTakenOver: a job with an item body of over 1 MiB must be readable at another
// daemon and be taken over.
func TestLargeItemIsTakenOver(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	owner, successor := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := newJob("j1", 1)
	accepted.Items[0].Body = make([]byte, 2<<20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return fake.started("j1-item0") == 1 }, testTimeout, pollInterval)
	body, err := successor.Body(t.Context(), "j1", "j1-item0")
	require.NoError(t, err)
	require.Equal(t, accepted.Items[0].Body, body)
	owner.cancel()
	successor.peers.markGone("a")
	require.Eventually(t, func() bool { return fake.started("j1-item0") == 2 }, testTimeout, pollInterval)
}
