package table_test

import (
	"context"
	"errors"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

var errUnavailable = errors.New("upstream unavailable")

// testUpstream returns the changes of a copy of a table, or an error while isFailing is set.
type testUpstream struct {
	copy      *table.Replica
	isFailing atomic.Bool
	calls     atomic.Int64
}

func (u *testUpstream) Serves() bool { return false }

func (u *testUpstream) Changes(ctx context.Context, _ string, _ table.Section, after table.Version, wait time.Duration) (table.RelayedChanges, bool, error) {
	u.calls.Add(1)
	if u.isFailing.Load() {
		return table.RelayedChanges{}, true, errUnavailable
	}
	select {
	case <-u.copy.Changed(after):
	case <-time.After(wait):
	case <-ctx.Done():
	}
	changes, isWhole, _ := u.copy.ChangesSince(after)
	return table.RelayedChanges{Changes: changes, IsWhole: isWhole, IsSettled: true}, true, nil
}

func counter(value string, version table.Version) []table.Row {
	return []table.Row{{Table: followedTable, Key: "counter", Value: []byte(value), Version: version}}
}

// TestFollowerUsesUpstream guards against calls to the store while the upstream answers,
// against missing changes when it fails, and against going back to its older version later.
func TestFollowerUsesUpstream(t *testing.T) {
	store, seen := tabletest.NewMemory(), &recorder{}
	calls := atomic.Int64{}
	store.SetDecide(func(string) tabletest.Fault {
		calls.Add(1)
		return tabletest.FaultNone
	})
	upstream := &testUpstream{copy: &table.Replica{Consumer: &recorder{}}}
	upstream.copy.Replace(counter("1", 1), 1)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	follower := &table.Follower{Store: store, Table: followedTable, Consumer: seen, Logger: discardLogger, Wait: 50 * time.Millisecond, Upstream: upstream}
	go follower.Run(ctx)
	require.Eventually(t, func() bool { return seen.value("counter") == "1" }, testTimeout, pollTime)
	upstream.copy.Change(counter("2", 2), 2)
	require.Eventually(t, func() bool { return seen.value("counter") == "2" }, testTimeout, pollTime)
	require.Zero(t, calls.Load())
	require.Greater(t, follower.StoreAge(), testTimeout, "data of an upstream is no answer of the store")

	upstream.isFailing.Store(true)
	for _, value := range []string{"3", "4"} {
		put(t, store, "", "counter", value)
	}
	require.Eventually(t, func() bool { return seen.value("counter") == "4" }, testTimeout, pollTime)
	require.Positive(t, calls.Load())
	upstream.isFailing.Store(false)
	before := upstream.calls.Load()
	require.Eventually(t, func() bool { return upstream.calls.Load() > before+3 }, testTimeout, pollTime)
	require.Equal(t, "4", seen.value("counter"))
}

// TestReplicaReturnsChangesOrAllRows guards against incomplete changes: when the changes
// after a version are no longer kept, all rows must be returned.
func TestReplicaReturnsChangesOrAllRows(t *testing.T) {
	kept := &table.Replica{Consumer: &recorder{}}
	kept.Replace(counter("1", 5), 5)
	changes, isWhole, isKnown := kept.ChangesSince(0)
	require.True(t, isKnown)
	require.True(t, isWhole)
	require.Len(t, changes.Rows, 1)
	for version := table.Version(6); version < 6000; version++ {
		kept.Change([]table.Row{{Table: followedTable, Key: strconv.Itoa(int(version)), Version: version}}, version)
	}
	changes, isWhole, _ = kept.ChangesSince(5990)
	require.False(t, isWhole)
	require.Len(t, changes.Rows, 9)
	require.Equal(t, table.Version(5999), changes.Version)
	changes, isWhole, _ = kept.ChangesSince(10)
	require.True(t, isWhole)
	require.Len(t, changes.Rows, 5995)
	kept.Change(nil, 7000)
	changes, _, _ = kept.ChangesSince(5999)
	require.Empty(t, changes.Rows)
	require.Equal(t, table.Version(7000), changes.Version)
}
