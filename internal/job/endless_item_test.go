package job_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table/tabletest"
)

// TestEndlessItemTakesBoundedMemory: a backend sends events without end, 64 KB each.
func TestEndlessItemTakesBoundedMemory(t *testing.T) {
	const events, eventBytes = 1 << 30, 64 << 10
	fake := newFakeBackends()
	fake.events, fake.pause = events, 100*time.Microsecond
	fake.padding["j1-item0"] = strings.Repeat("x", eventBytes)
	owner := startDaemon(t, "a", tabletest.NewMemory(), fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 1)))
	require.Eventually(t, func() bool { return fake.started("j1-item0") > 0 }, testTimeout, pollInterval)
	longest := 0
	for begin := time.Now(); time.Since(begin) < 2*time.Second; {
		longest = max(longest, job.TextBytes(owner.Service, "j1"))
		time.Sleep(time.Millisecond)
	}
	require.LessOrEqual(t, longest, 16<<20)
}
