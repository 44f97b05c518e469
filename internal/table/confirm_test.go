package table_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// heldStore holds the answers to watches that do not wait until release is closed.
type heldStore struct {
	table.Store
	isHeld  atomic.Bool
	held    chan struct{}
	release chan struct{}
}

func (s *heldStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	changes, err := s.Store.Watch(ctx, name, after, wait)
	if wait == 0 && s.isHeld.CompareAndSwap(true, false) {
		s.held <- struct{}{}
		<-s.release
	}
	return changes, err
}

// pacedFollower runs a follower with a history that makes no call of its own once it has read
// the table.
func pacedFollower(t *testing.T, store table.Store) (*table.Follower, *recorder) {
	t.Helper()
	received := &recorder{}
	replica := &table.Replica{Consumer: received, History: table.NewHistory()}
	follower := &table.Follower{
		Store: store, Table: followedTable, Consumer: replica, Part: replica, Logger: discardLogger, Wait: time.Millisecond,
		History: replica.History, Pace: rate.NewLimiter(rate.Every(time.Hour), 2),
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go follower.Run(ctx)
	require.Eventually(t, func() bool { return follower.StoreAge() < testTimeout }, testTimeout, pollTime)
	return follower, received
}

// Guards against a list that counts as current although the store has newer rows.
func TestConfirmBringsRowsUpToDate(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "", "a", "1")
	follower, received := pacedFollower(t, store)
	put(t, store, "", "a", "2")
	require.Equal(t, "1", received.value("a"))
	require.True(t, follower.Confirm(t.Context()))
	require.Equal(t, "2", received.value("a"))
	store.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	require.False(t, follower.Confirm(t.Context()))
}

// Guards against a call that was under way and counts for those who ask after it started.
func TestCallUnderWayConfirmsNothingForLaterCallers(t *testing.T) {
	memory := tabletest.NewMemory()
	put(t, memory, "", "a", "1")
	store := &heldStore{Store: memory, held: make(chan struct{}), release: make(chan struct{})}
	follower, received := pacedFollower(t, store)
	store.isHeld.Store(true)
	early, late := make(chan bool, 1), make(chan bool, 1)
	go func() { early <- follower.Confirm(t.Context()) }()
	<-store.held
	put(t, memory, "", "a", "2")
	go func() { late <- follower.Confirm(t.Context()) }()
	time.Sleep(20 * time.Millisecond)
	close(store.release)
	require.True(t, <-early)
	require.True(t, <-late)
	require.Equal(t, "2", received.value("a"))
}

// Guards against backends that came and left unseen and count as never listed.
func TestHistoryHasNoGaps(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "", "a", "1")
	follower, _ := pacedFollower(t, store)
	require.Eventually(t, func() bool { return follower.History.Covers(time.Hour) }, testTimeout, pollTime, "no row was ever removed")
	put(t, store, "", "b", "1")
	require.True(t, follower.Confirm(t.Context()))
	remove(t, store, "b")
	require.True(t, follower.Confirm(t.Context()))
	require.True(t, follower.History.Covers(time.Hour))
	late, _ := pacedFollower(t, store)
	time.Sleep(10 * pollTime)
	require.False(t, late.History.Covers(time.Hour), "a row was removed before")
	require.True(t, late.History.Covers(pollTime))
	generation := late.History.Generation()
	late.History.Extend(generation, time.Hour)
	require.True(t, late.History.Covers(time.Hour))
	late.Consumer.Change([]table.Row{{Table: followedTable, Key: "unseen", Deleted: true}}, store.Version())
	require.False(t, late.History.Covers(time.Hour), "a row was removed that was never received")
	late.History.Extend(generation, time.Hour)
	require.False(t, late.History.Covers(time.Hour), "there was a gap meanwhile")
	late.History.Extend(late.History.Generation(), time.Hour)
	late.Consumer.Replace(nil, store.Version())
	require.False(t, late.History.Covers(time.Hour), "the table was read anew")
}

// Guards against rows that took another value before the table was read and count as never changed.
func TestHistoryWithChangedRowsIsNotWhole(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "", "a", "1")
	put(t, store, "", "b", "1")
	put(t, store, "", "b", "1")
	unchanged, _ := pacedFollower(t, store)
	require.Eventually(t, func() bool { return unchanged.History.Covers(time.Hour) }, testTimeout, pollTime)
	put(t, store, "", "a", "2")
	late, _ := pacedFollower(t, store)
	require.Never(t, func() bool { return late.History.Covers(time.Hour) }, 10*pollTime, pollTime)
}

// unansweredHistory is a store that answers no call for the changes from the beginning until
// release is closed.
type unansweredHistory struct {
	table.Store
	asked, release chan struct{}
}

func (s unansweredHistory) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if after > 0 {
		return s.Store.Watch(ctx, name, after, wait)
	}
	close(s.asked)
	<-s.release
	return table.Changes{}, &table.Error{Kind: table.ErrorUnknown, Call: "watch"}
}

// Guards against changes that wait until the store has answered the call for the history.
func TestChangesDoNotWaitForHistory(t *testing.T) {
	memory := tabletest.NewMemory()
	put(t, memory, "", "a", "1")
	store := unansweredHistory{Store: memory, asked: make(chan struct{}), release: make(chan struct{})}
	defer close(store.release)
	received := &recorder{}
	replica := &table.Replica{Consumer: received, History: table.NewHistory()}
	follower := &table.Follower{
		Store: store, Table: followedTable, Consumer: replica, Part: replica, Logger: discardLogger, Wait: time.Hour, History: replica.History,
	}
	go follower.Run(t.Context())
	<-store.asked
	put(t, memory, "", "a", "2")
	require.Eventually(t, func() bool { return received.value("a") == "2" }, testTimeout, pollTime)
}
