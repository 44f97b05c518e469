package job_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/serving"
	"topazpulley/internal/table/tabletest"
)

// placedSender records the backends to which items are sent.
type placedSender struct {
	*fakeBackends
	mutex  sync.Mutex
	placed map[string]int
}

func (s *placedSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	s.mutex.Lock()
	s.placed[attempt.Instance.ID]++
	s.mutex.Unlock()
	return s.fakeBackends.Send(ctx, attempt)
}

func (s *placedSender) sentTo(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.placed[id]
}

// setBreakShare changes the share of attempts that break off after two events.
func (f *fakeBackends) setBreakShare(share float64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.breakShare = share
}

const (
	// lapsedPause makes a run that breaks off after 3 s.
	lapsedPause = time.Second
	// lapsedTime is the time for which an entry is gone: longer than the run lasts, and shorter
	// than doing the run's work again takes besides.
	lapsedTime = 3500 * time.Millisecond
)

// lapsedItem is an item with events whose run breaks off while the entry of the only backend of
// its software version is gone, and one of another version is free.
type lapsedItem struct {
	sender *placedSender
	owner  *daemon
}

// startLapsedItem starts such an item. leave removes the backend that began it.
func startLapsedItem(t *testing.T, leave func(*backend.Set)) lapsedItem {
	t.Helper()
	sender := &placedSender{fakeBackends: newFakeBackends(), placed: map[string]int{}}
	sender.pause, sender.breakShare = lapsedPause, 1
	made := lapsedItem{sender: sender, owner: startWithSender(t, "a", tabletest.NewMemory(), sender)}
	made.owner.events = sender.events
	require.NoError(t, made.owner.Submit(t.Context(), newJob("j1", 1)))
	require.Eventually(t, func() bool { return sender.sentTo("one") == 1 }, testTimeout, pollInterval)
	time.Sleep(sender.pause)
	leave(made.owner.backends)
	made.owner.backends.Put(backend.Instance{ID: "two", Version: "v2", Service: service, Slots: 100})
	sender.setBreakShare(0)
	return made
}

// TestItemAwaitsVersionWhoseEntryLapsed checks that an item keeps its events while the entry of
// the backends of its software version is gone for a moment.
func TestItemAwaitsVersionWhoseEntryLapsed(t *testing.T) {
	lapsed := startLapsedItem(t, func(set *backend.Set) { set.Remove("one") })
	time.Sleep(lapsedTime) // the run has broken off and could go on
	lapsed.owner.backends.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: 100})
	requireAllCompleted(t, lapsed.owner, newJob("j1", 1))
	require.Zero(t, lapsed.sender.sentTo("two"), "started over at another version")
	require.EqualValues(t, 2, lapsed.sender.resumedAt("j1-item0"))
}

// TestItemStartsOverIfItsVersionIsGone checks that an item does not wait for backends that said
// that they leave.
func TestItemStartsOverIfItsVersionIsGone(t *testing.T) {
	lapsed := startLapsedItem(t, func(set *backend.Set) {
		set.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: 100, Draining: true})
		set.Remove("one")
	})
	require.Eventually(t, func() bool { return lapsed.sender.sentTo("two") > 0 }, lapsedTime, pollInterval)
	requireAllCompleted(t, lapsed.owner, newJob("j1", 1))
}
