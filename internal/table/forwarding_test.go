package table_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// faultyStore counts its calls and answers them with a fault.
type faultyStore struct {
	*tabletest.Memory
	fault tabletest.Fault
	calls int
}

func newFaultyStore() *faultyStore {
	made := &faultyStore{Memory: tabletest.NewMemory()}
	made.SetDecide(func(string) tabletest.Fault {
		made.calls++
		return made.fault
	})
	return made
}

func newForwarding(t *testing.T, direct, peers table.Store) *table.Forwarding {
	t.Helper()
	made := table.NewForwarding(direct, peers, "t", discardLogger)
	go made.Run(t.Context())
	return made
}

func insert(key string) table.Transaction {
	return table.Transaction{Conditions: []table.Condition{{Table: "t", Key: key}}, Writes: []table.Write{{Table: "t", Key: key, Value: []byte(key)}}}
}

// TestCallsAreForwardedWhileStoreRefuses guards against failed or repeated direct calls while
// the store refuses this daemon, and against forwarding after it serves the daemon again.
func TestCallsAreForwardedWhileStoreRefuses(t *testing.T) {
	direct, peers := newFaultyStore(), newFaultyStore()
	store := newForwarding(t, direct, peers)
	direct.fault = tabletest.FaultRefuse
	_, err := store.Commit(t.Context(), insert("a"))
	require.NoError(t, err)
	require.False(t, store.IsServed())
	require.Equal(t, 1, peers.calls)
	page, err := store.Read(t.Context(), table.Range{Table: "t"})
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
	require.Equal(t, 2, peers.calls)
	direct.SetDecide(nil)
	require.Eventually(t, store.IsServed, testTimeout, pollTime)
	_, err = store.Commit(t.Context(), insert("b"))
	require.NoError(t, err)
	require.Equal(t, 2, peers.calls)
}

// TestUnknownCommitIsNotRepeated guards against repeating a commit that may have been
// carried out.
func TestUnknownCommitIsNotRepeated(t *testing.T) {
	direct, peers := newFaultyStore(), newFaultyStore()
	store := newForwarding(t, direct, peers)
	direct.fault = tabletest.FaultLose
	_, err := store.Commit(t.Context(), insert("a"))
	var failed *table.Error
	require.ErrorAs(t, err, &failed)
	require.Equal(t, table.ErrorUnknown, failed.Kind)
	require.Zero(t, peers.calls)
}

// TestDirectErrorIsReturnedWithoutPeers guards against hiding the store's error when no peer
// can make the call.
func TestDirectErrorIsReturnedWithoutPeers(t *testing.T) {
	direct, peers := newFaultyStore(), newFaultyStore()
	store := newForwarding(t, direct, peers)
	direct.fault, peers.fault = tabletest.FaultThrottle, tabletest.FaultRefuse
	for range 2 {
		_, err := store.Commit(t.Context(), insert("a"))
		var failed *table.Error
		require.ErrorAs(t, err, &failed)
		require.Equal(t, table.ErrorThrottled, failed.Kind)
	}
}

// TestConflictsAreAnswers guards against taking a conflict for a store that does not serve.
func TestConflictsAreAnswers(t *testing.T) {
	direct, peers := newFaultyStore(), newFaultyStore()
	store := newForwarding(t, direct, peers)
	_, err := store.Commit(t.Context(), insert("a"))
	require.NoError(t, err)
	_, err = store.Commit(t.Context(), insert("a"))
	var conflict *table.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.True(t, store.IsServed())
}

// unresponsiveStore doesn't answer reads until their deadline.
type unresponsiveStore struct{ *tabletest.Memory }

func (unresponsiveStore) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	<-ctx.Done()
	return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read", Cause: ctx.Err()}
}

// TestUnresponsiveStoreLeavesTimeForPeers guards against using a call's entire time for a
// store that doesn't answer.
func TestUnresponsiveStoreLeavesTimeForPeers(t *testing.T) {
	peers := newFaultyStore()
	_, err := peers.Commit(t.Context(), insert("a"))
	require.NoError(t, err)
	store := newForwarding(t, unresponsiveStore{tabletest.NewMemory()}, peers)
	store.HasPeers = func() bool { return true }
	bounded, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	page, err := store.Read(bounded, table.Range{Table: "t"})
	require.NoError(t, err)
	require.Len(t, page.Rows, 1)
}

// slowStore answers reads after a pause.
type slowStore struct {
	*tabletest.Memory
	pause time.Duration
}

func (s *slowStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	select {
	case <-ctx.Done():
		return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read", Cause: ctx.Err()}
	case <-time.After(s.pause):
		return s.Memory.Read(ctx, wanted)
	}
}

// TestSlowStoreGetsFullTime guards against forwarding a slow call to a store that has
// answered recently.
func TestSlowStoreGetsFullTime(t *testing.T) {
	peers, slow := newFaultyStore(), &slowStore{Memory: tabletest.NewMemory()}
	store := newForwarding(t, slow, peers)
	store.HasPeers = func() bool { return true }
	_, err := store.Read(t.Context(), table.Range{Table: "t"})
	require.NoError(t, err)
	slow.pause = 700 * time.Millisecond
	bounded, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err = store.Read(bounded, table.Range{Table: "t"})
	require.NoError(t, err)
	require.Zero(t, peers.calls)
}
