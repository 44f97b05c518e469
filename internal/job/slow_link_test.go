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

// slowLink is a store whose commits share a link of limited bandwidth. A commit fails if its call ends
// first.
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

// pass occupies the link until the bytes have passed or the call ends.
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

// TestResultsCommitOverSlowLink: results that exceed what the link carries within one call
// are committed all the same.
func TestResultsCommitOverSlowLink(t *testing.T) {
	store := &slowLink{Memory: tabletest.NewMemory(), bytesPerSecond: 300 << 10}
	fake := newFakeBackends()
	fake.events, fake.pause = 1000, 200*time.Microsecond
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 90)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
}

// TestStaleOwnershipDropKeepsNewOwnership: a failure of an earlier ownership must not drop
// the job that the same daemon owns again.
func TestStaleOwnershipDropKeepsNewOwnership(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner := startDaemon(t, "a", store, fake)
	accepted := newJob("j1", 2)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireAllCompleted(t, owner, accepted)
	require.NoError(t, job.DropOlderOwnership(owner.Service, newJob("j2", 1)))
}

// unreadableStore is a store from which the content of jobs cannot be read.
type unreadableStore struct{ *tabletest.Memory }

func (u unreadableStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if wanted.Table == "job_content" {
		<-ctx.Done()
		return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read", Cause: ctx.Err()}
	}
	return u.Memory.Read(ctx, wanted)
}

// TestUnreadableJobGoesToAnotherDaemon: a daemon that claims an orphaned job and cannot read
// its content releases it to another daemon.
func TestUnreadableJobGoesToAnotherDaemon(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Second
	owner := startDaemon(t, "a", store, fake)
	first, second := startDaemon(t, "b", unreadableStore{store}, fake), startDaemon(t, "c", store, fake)
	second.peers.rank = 1
	accepted := newJob("j1", 3)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	owner.cancel()
	first.peers.markGone("a")
	second.peers.markGone("a")
	requireAllCompleted(t, second, accepted)
}
