package job_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/table/tabletest"
)

// TestPauseAfterGivingWayInVirtualTime: an owner without the pause once passed for one
// with it on a machine so busy that it took the pause's time to send an item anyway.
func TestPauseAfterGivingWayInVirtualTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 250 * time.Millisecond
		store, runner := tabletest.NewMemory(), newRunners()
		runner.events, runner.pause = 100, 20*time.Millisecond
		owner := startDaemon(t, "a", store, runner)
		accepted := newJob("j1", 4)
		require.NoError(t, owner.Submit(t.Context(), accepted))
		require.Eventually(t, func() bool { return owner.backends.OwnLoads()["one"].Batch == len(accepted.Items) }, patience, pollTime)
		running := func() int {
			loads := owner.backends.OwnLoads()
			return loads["one"].Batch + loads["two"].Batch
		}
		owner.backends.Put(backend.Instance{ID: "two", Service: service, Slots: 100})
		gaveWayAt := time.Now()
		owner.backends.Preempt("one")
		require.Eventually(t, func() bool { return running() < len(accepted.Items) }, patience, time.Millisecond)
		require.Eventually(t, func() bool { return running() == len(accepted.Items) }, patience, time.Millisecond)
		require.GreaterOrEqual(t, time.Since(gaveWayAt), pause)
	})
}
