package job_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/table/tabletest"
)

// TestPauseAfterPreemptionVirtualTime: the owner waits for the complete pause after a
// preemption. Virtual time excludes delays of the machine, which can hide a missing pause.
func TestPauseAfterPreemptionVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 250 * time.Millisecond
		store, fake := tabletest.NewMemory(), newFakeBackends()
		fake.events, fake.pause = 100, 20*time.Millisecond
		owner := startDaemon(t, "a", store, fake)
		accepted := newJob("j1", 4)
		require.NoError(t, owner.Submit(t.Context(), accepted))
		require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, testTimeout, pollInterval)
		running := func() int {
			loads := owner.backends.OwnLoads()
			return loads["one"].Batch + loads["two"].Batch
		}
		owner.backends.Put(backend.Instance{ID: "two", Version: "v1", Service: service, Slots: 100})
		preemptedAt := time.Now()
		owner.backends.Preempt("one")
		require.Eventually(t, func() bool { return running() < len(accepted.Items) }, testTimeout, time.Millisecond)
		require.Eventually(t, func() bool { return running() == len(accepted.Items) }, testTimeout, time.Millisecond)
		require.GreaterOrEqual(t, time.Since(preemptedAt), pause)
	})
}
