package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestSweepDropsOnlyObjectsOfJobsThatAreOver guards against objects that stay for ever since their
// owner ended, and against dropping the object of a job that is open or may yet be accepted.
func TestSweepDropsOnlyObjectsOfJobsThatAreOver(t *testing.T) {
	const retention = 10 * time.Minute
	now := time.Unix(1000, 0)
	sweeper := newObjectSweeper(retention)
	content, text := newObjectName(contentPrefix, "j-1"), newObjectName(textPrefix, "j-1")
	isOpen := true
	due := func(prefix, name string, after time.Duration) bool {
		found := sweeper.due(prefix, []string{name, "other"}, func(job string) bool { return isOpen || job != "j-1" }, now.Add(after))
		_, isDue := found[name]
		return isDue
	}
	// watch checks in between, as the sweep does, and expects that nothing is due.
	watch := func(prefix, name string, from, until time.Duration) {
		for after := from; after < until; after += objectSweepInterval {
			require.False(t, due(prefix, name, after), "%s after %v", name, after)
		}
	}
	require.False(t, due(contentPrefix, content, 0))
	watch(contentPrefix, content, 0, 2*orphanAge)
	require.False(t, due(contentPrefix, content, 2*orphanAge), "the job is open")
	isOpen = false
	require.False(t, due(contentPrefix, content, 2*orphanAge))
	require.False(t, due(textPrefix, text, 2*orphanAge))
	watch(contentPrefix, content, 2*orphanAge, 3*orphanAge)
	require.False(t, due(contentPrefix, content, 3*orphanAge-1), "the job may yet be accepted")
	require.True(t, due(contentPrefix, content, 3*orphanAge))
	watch(textPrefix, text, 2*orphanAge, 3*orphanAge+retention)
	require.False(t, due(textPrefix, text, 3*orphanAge+retention-1), "the result may still be read")
	require.True(t, due(textPrefix, text, 3*orphanAge+retention))
	isOpen = true
	require.False(t, due(contentPrefix, content, 3*orphanAge))
	isOpen = false
	require.False(t, due(contentPrefix, content, 3*orphanAge), "the time counts from when it was last open")
}

// TestObjectNameTellsJob checks that any job id is found again in the name of its object.
func TestObjectNameTellsJob(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := rapid.StringMatching(`[!-~]{1,40}`).Draw(t, "id")
		job, isValid := jobOfObject(textPrefix, newObjectName(textPrefix, id))
		require.True(t, isValid)
		require.Equal(t, id, job)
	})
}

// TestSweepKeepsTextsThatItDidNotWatch guards against texts that are dropped with the end of their
// job, since their sweeper had once found it not open and then left the sweeping to another daemon.
func TestSweepKeepsTextsThatItDidNotWatch(t *testing.T) {
	const retention = 10 * time.Minute
	now := time.Unix(1000, 0)
	sweeper := newObjectSweeper(retention)
	text := newObjectName(textPrefix, "j-1")
	isOpen := func(string) bool { return false }
	require.Empty(t, sweeper.due(textPrefix, []string{text}, isOpen, now))
	// The job was open meanwhile, and has just ended.
	now = now.Add(retention + orphanAge)
	require.Empty(t, sweeper.due(textPrefix, []string{text}, isOpen, now))
}
