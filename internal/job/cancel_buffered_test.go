package job_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// disconnectedStore fails all calls while isDisconnected is set.
type disconnectedStore struct {
	table.Store
	isDisconnected atomic.Bool
}

// errDisconnected is the error of a call while the store is disconnected.
var errDisconnected = &table.Error{Kind: table.ErrorNotDone, Call: "severed"}

// Commit implements table.Store.
func (s *disconnectedStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if s.isDisconnected.Load() {
		return 0, errDisconnected
	}
	return s.Store.Commit(ctx, transaction)
}

// Read implements table.Store.
func (s *disconnectedStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if s.isDisconnected.Load() {
		return table.Page{}, errDisconnected
	}
	return s.Store.Read(ctx, wanted)
}

// Partitions implements table.Store.
func (s *disconnectedStore) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	if s.isDisconnected.Load() {
		return nil, false, errDisconnected
	}
	return s.Store.Partitions(ctx, name, after)
}

// Watch implements table.Store.
func (s *disconnectedStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if s.isDisconnected.Load() {
		return table.Changes{}, errDisconnected
	}
	return s.Store.Watch(ctx, name, after, wait)
}

// TestCanceledBufferedSubmissionDoesNotRun: a job that is cancelled at one daemon must not run if
// another daemon buffers its submission, before or after a first attempt.
func TestCanceledBufferedSubmissionDoesNotRun(t *testing.T) {
	for name, isUnavailableFirst := range map[string]bool{"buffered at once": true, "tried, then buffered": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const items = 20
			store, fake := tabletest.NewMemory(), newFakeBackends()
			disconnected := &disconnectedStore{Store: store}
			owner, other := startDaemon(t, "a", disconnected, fake), startDaemon(t, "b", store, fake)
			requireFollowed(t, store, owner, other)
			disconnected.isDisconnected.Store(true)
			if isUnavailableFirst {
				awaitUnavailable(t, owner)
			}
			answered := make(chan error, 1)
			go func() {
				bounded, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				answered <- owner.Submit(bounded, newJob("j1", items))
			}()
			require.Eventually(t, func() bool { return owner.Buffered() == 1 }, testTimeout, pollInterval)
			require.Error(t, other.Cancel(t.Context(), "j1"), "an unknown job was cancelled")
			disconnected.isDisconnected.Store(false)
			require.Error(t, <-answered)
			time.Sleep(500 * time.Millisecond)
			require.Zero(t, fake.total())
		})
	}
}

// TestStopFailsBufferedSubmissions: a daemon that stops fails its buffered submissions as not
// run.
func TestStopFailsBufferedSubmissions(t *testing.T) {
	disconnected := &disconnectedStore{Store: tabletest.NewMemory()}
	owner := startDaemon(t, "a", disconnected, newFakeBackends())
	disconnected.isDisconnected.Store(true)
	awaitUnavailable(t, owner)
	answered := make(chan error, 1)
	go func() {
		bounded, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		answered <- owner.Submit(bounded, newJob("j1", 1))
	}()
	require.Eventually(t, func() bool { return owner.Buffered() == 1 }, testTimeout, pollInterval)
	stopping, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	owner.Stop(stopping)
	select {
	case err := <-answered:
		var failed *failure.Error
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.NotRun)
	case <-time.After(testTimeout):
		require.Fail(t, "the submission is still buffered")
	}
}
