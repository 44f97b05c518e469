package job_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/table/tabletest"
)

// TestStaleClaimsDoNotAnswerNotFound: a daemon whose claims are stale must not answer that an
// accepted job does not exist, and a cancel request that it receives takes effect later.
func TestStaleClaimsDoNotAnswerNotFound(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	stalled := &stalledStore{Store: store}
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", stalled, fake)
	require.Eventually(t, func() bool {
		_, err := other.Of("").Results(t.Context(), "j1", 0, 0)
		return failure.Is(err, failure.KindNotFound)
	}, testTimeout, pollInterval, "not found is not answered with current claims")
	stalled.isStalled.Store(true)
	time.Sleep(watchWait)
	store.Freeze()
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 3)))
	time.Sleep(cancelTime)
	_, err := other.Of("").Results(t.Context(), "j1", 0, 0)
	require.True(t, failure.Is(err, failure.KindUnavailable), "%v", err)
	bounded, cancel := context.WithTimeout(t.Context(), watchWait)
	defer cancel()
	require.False(t, failure.Is(other.Cancel(bounded, "j1"), failure.KindNotFound))
	store.Thaw()
	stalled.isStalled.Store(false)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, testTimeout, pollInterval, "the job was not cancelled")
}
