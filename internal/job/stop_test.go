package job_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table/tabletest"
)

// handoverTime is within what a stop leaves for handing a job over.
const handoverTime = 2 * time.Second

// TestJobAcceptedWhileStoppingIsRunElsewhere: the stopping daemon is not gone yet for the others.
func TestJobAcceptedWhileStoppingIsRunElsewhere(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	stopping, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, stopping, other)
	stopping.Stop(t.Context())
	accepted := newJob("j1", 3)
	require.NoError(t, stopping.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return fake.total() > 0 }, handoverTime, pollInterval, "nobody runs the job")
	requireAllCompleted(t, other, accepted)
}
