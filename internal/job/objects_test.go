package job_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table/tabletest"
)

// largeJob returns a job whose content is stored as an object.
func largeJob(id string) job.Job {
	made := newJob(id, 8)
	for index := range made.Items {
		made.Items[index].Body = make([]byte, 100<<10)
	}
	return made
}

// objectNames returns the names of the objects with a prefix.
func objectNames(t *testing.T, store *tabletest.Memory, prefix string) []string {
	t.Helper()
	names, _, err := store.Objects(t.Context(), prefix, "")
	require.NoError(t, err)
	return names
}

// TestContentOfFinishedJobIsDropped guards against a store that fills up with the contents of jobs
// that are over, until it takes no object any more.
func TestContentOfFinishedJobIsDropped(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = 20 * time.Millisecond
	owner, reader := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	accepted := largeJob("j1")
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Len(t, objectNames(t, store, "content-"), 1)
	requireAllCompleted(t, reader, accepted)
	require.Eventually(t, func() bool { return len(objectNames(t, store, "")) == 0 }, testTimeout, pollInterval)
	require.Eventually(t, func() bool {
		_, err := reader.Body(t.Context(), "j1", "j1-item1")
		return failure.Is(err, failure.KindNotFound)
	}, testTimeout, pollInterval)
	require.NoError(t, reader.Submit(t.Context(), accepted), "the job is still known")
	requireAllCompleted(t, reader, accepted)
}

// TestContentOfCancelledJobIsDropped is TestContentOfFinishedJobIsDropped for a job that its caller ends.
func TestContentOfCancelledJobIsDropped(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Second
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	require.NoError(t, owner.Submit(t.Context(), largeJob("j1")))
	require.NoError(t, other.Cancel(t.Context(), "j1"))
	require.Eventually(t, func() bool { return len(objectNames(t, store, "")) == 0 }, testTimeout, pollInterval)
}

// TestTextOfLongResultIsKept guards against a long result that cannot be read any more after its job.
func TestTextOfLongResultIsKept(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.padding["j1-item0"] = strings.Repeat("x", 20<<10)
	owner, reader := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 2)))
	listed := requireListed(t, reader, "j1", 2)
	require.Greater(t, len(listed["j1-item0"].Text), 100<<10)
	require.Len(t, objectNames(t, store, "text-"), 1)
}
