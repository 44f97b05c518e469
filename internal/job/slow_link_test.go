package job_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// slowLink is a store behind a link of so many bytes a second, which all
// commits of a daemon share. What is not through when the call ends is lost.
type slowLink struct {
	*tabletest.Memory
	bytesPerSecond int
	mutex          sync.Mutex
}

func (s *slowLink) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	size := 0
	for _, write := range transaction.Writes {
		size += len(write.Value)
	}
	if !s.pass(ctx, size) {
		return 0, &table.Error{Kind: table.ErrorUnknown, Call: "commit", Cause: ctx.Err()}
	}
	return s.Memory.Commit(ctx, transaction)
}

// pass holds the link for as long as the bytes take, or until the call ends.
func (s *slowLink) pass(ctx context.Context, size int) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	timer := time.NewTimer(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// TestResultsGetThroughASlowLink: results that ended together and are more than
// the link carries in the time of one call are listed all the same, while the
// checkpoints of other items take the same link.
func TestResultsGetThroughASlowLink(t *testing.T) {
	store := &slowLink{Memory: tabletest.NewMemory(), bytesPerSecond: 300 << 10}
	runner := newRunners()
	runner.events, runner.pause = 1000, 200*time.Microsecond
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 90)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestLateGoroutineDropsNoNewerOwnership: a commit that fails after its claim
// was lost must not end the job that the same daemon has taken up again.
func TestLateGoroutineDropsNoNewerOwnership(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	owner := startDaemon(t, "a", store, runner)
	accepted := newJob("j1", 2)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
	require.NoError(t, job.DropOlderOwnership(owner.Service, newJob("j2", 1)))
}

// unreadable is a store of which one daemon cannot read the content of jobs.
type unreadable struct{ *tabletest.Memory }

func (u unreadable) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if wanted.Table == "job_content" {
		<-ctx.Done()
		return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read", Cause: ctx.Err()}
	}
	return u.Memory.Read(ctx, wanted)
}

// TestJobThatADaemonCannotReadGoesToAnother: a daemon that has claimed an
// orphaned job and cannot read it leaves it to others.
func TestJobThatADaemonCannotReadGoesToAnother(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Second
	owner := startDaemon(t, "a", store, runner)
	first, second := startDaemon(t, "b", unreadable{store}, runner), startDaemon(t, "c", store, runner)
	second.peers.rank = 1
	accepted := newJob("j1", 3)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	first.peers.kill("a")
	second.peers.kill("a")
	requireAllCompleted(t, second, accepted)
}
