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

// severedStore is a store that one daemon alone does not reach while it is severed.
type severedStore struct {
	table.Store
	isSevered atomic.Bool
}

// errSevered is the failure of calls meanwhile.
var errSevered = &table.Error{Kind: table.ErrorNotDone, Call: "severed"}

// Commit implements table.Store.
func (s *severedStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if s.isSevered.Load() {
		return 0, errSevered
	}
	return s.Store.Commit(ctx, transaction)
}

// Read implements table.Store.
func (s *severedStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	if s.isSevered.Load() {
		return table.Page{}, errSevered
	}
	return s.Store.Read(ctx, wanted)
}

// Partitions implements table.Store.
func (s *severedStore) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	if s.isSevered.Load() {
		return nil, false, errSevered
	}
	return s.Store.Partitions(ctx, name, after)
}

// Watch implements table.Store.
func (s *severedStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if s.isSevered.Load() {
		return table.Changes{}, errSevered
	}
	return s.Store.Watch(ctx, name, after, wait)
}

// TestJobThatIsEndedWhileItsSubmissionIsHeldDoesNotRun: its caller ends it at a daemon
// that reaches the store, while another, which does not, holds the submission, whether or
// not it has tried before.
func TestJobThatIsEndedWhileItsSubmissionIsHeldDoesNotRun(t *testing.T) {
	for name, isAwayFirst := range map[string]bool{"held at once": true, "tried, then held": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const items = 20
			store, runner := tabletest.NewMemory(), newRunners()
			severed := &severedStore{Store: store}
			owner, other := startDaemon(t, "a", severed, runner), startDaemon(t, "b", store, runner)
			requireKnown(t, store, owner, other)
			severed.isSevered.Store(true)
			if isAwayFirst {
				awaitAway(t, owner)
			}
			answered := make(chan error, 1)
			go func() {
				bounded, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				answered <- owner.Submit(bounded, newJob("j1", items))
			}()
			require.Eventually(t, func() bool { return owner.Held() == 1 }, patience, pollTime)
			require.Error(t, other.End(t.Context(), "j1"), "the job is not known yet")
			severed.isSevered.Store(false)
			require.Error(t, <-answered)
			time.Sleep(500 * time.Millisecond)
			require.Zero(t, runner.total())
		})
	}
}

// TestHeldSubmissionsEndWithTheirDaemon: one that stops tells their callers, as not run.
func TestHeldSubmissionsEndWithTheirDaemon(t *testing.T) {
	severed := &severedStore{Store: tabletest.NewMemory()}
	owner := startDaemon(t, "a", severed, newRunners())
	severed.isSevered.Store(true)
	awaitAway(t, owner)
	answered := make(chan error, 1)
	go func() {
		bounded, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		answered <- owner.Submit(bounded, newJob("j1", 1))
	}()
	require.Eventually(t, func() bool { return owner.Held() == 1 }, patience, pollTime)
	stopping, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	owner.Stop(stopping)
	select {
	case err := <-answered:
		var failed *failure.Error
		require.ErrorAs(t, err, &failed)
		require.True(t, failed.NotRun)
	case <-time.After(patience):
		require.Fail(t, "the submission is held on")
	}
}
