package job_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/serving"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// cancelTime is how long after the acknowledged end of a job its last item may
// reach a backend, by the users' word.
const cancelTime = 3 * time.Second

// TestEndOutlivesItsCaller.
//
// What users saw: backends ran items of jobs that their clients had ended.
// Order of events: a job waits for room; its client ends it at a daemon that does
// not own it, while the store turns writes away for some seconds (or the client
// does not wait for the answer); the end is given up with its caller; the store
// serves again, the owner has heard of nothing, and the job's items go on for as
// long as the job lasts. Cause: an end lived as long as its caller's call.
// Evidence: 63 daemons as processes, 36 of 44 ends took effect while the store
// turned writes away for four seconds at a time; the other eight were logged as
// job_end_failed once and never tried again.
func TestEndOutlivesItsCaller(t *testing.T) {
	cases := map[string]func(t *testing.T, end func(ctx context.Context) error){
		"whose time is over": func(t *testing.T, end func(ctx context.Context) error) {
			bounded, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			require.Error(t, end(bounded))
		},
		"who left": func(t *testing.T, end func(ctx context.Context) error) {
			left, leave := context.WithCancel(t.Context())
			leave()
			require.Error(t, end(left))
		},
	}
	for name, call := range cases {
		t.Run(name, func(t *testing.T) {
			store, runner := tabletest.NewMemory(), newRunners()
			runner.pause = time.Minute
			owner, other := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
			require.NoError(t, owner.Submit(t.Context(), newJob("j1", 200)))
			store.SetDecide(func(call string) tabletest.Fault {
				if call == "commit" {
					return tabletest.FaultThrottle
				}
				return tabletest.FaultNone
			})
			call(t, func(ctx context.Context) error { return other.End(ctx, "j1") })
			store.SetDecide(nil)
			require.Eventually(t, func() bool { return owner.Owned() == 0 }, 2*cancelTime, pollTime, "the job goes on")
		})
	}
}

// mutedStore tells of changes only while it is not muted.
type mutedStore struct {
	table.Store
	isMuted atomic.Bool
}

func (m *mutedStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if m.isMuted.Load() {
		return watchInVain(ctx)
	}
	return m.Store.Watch(ctx, name, after, wait)
}

// lastWatch is longer than a call of the followers here is held.
const lastWatch = 300 * time.Millisecond

// room makes a backend at which so many items run at once.
func room(slots int) backend.Instance {
	return backend.Instance{ID: "one", Service: service, Slots: slots}
}

// TestOwnerThatHearsNothingStartsNoItemsAfterTheEnd.
//
// What users saw: backends ran items of jobs that their clients had ended.
// Order of events: a job's items wait for room; the owner stops to hear of changes
// of claims, though the store takes its other calls; the job is ended elsewhere,
// which is acknowledged; some seconds later there is room, and the owner sends the
// items. Cause: the owner believed its copy of the claims however old it was.
// Evidence: this test, before the owner asked for the copy's age: 100 of 100
// waiting items were sent four seconds after the end.
func TestOwnerThatHearsNothingStartsNoItemsAfterTheEnd(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	muted := &mutedStore{Store: store}
	owner, other := startDaemon(t, "a", muted, runner), startDaemon(t, "b", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 200)))
	require.Eventually(t, func() bool { return runner.total() == 100 }, patience, pollTime)
	muted.isMuted.Store(true)
	time.Sleep(lastWatch) // the call that is held goes on
	require.NoError(t, other.End(t.Context(), "j1"))
	time.Sleep(cancelTime + time.Second)
	before := runner.total()
	owner.backends.Put(room(200))
	time.Sleep(time.Second)
	require.Equal(t, before, runner.total(), "items of an ended job were sent")
	muted.isMuted.Store(false)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime)
}

// TestOwnerGoesOnOnceItHearsAgain: items only wait while the claims are old.
func TestOwnerGoesOnOnceItHearsAgain(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	muted := &mutedStore{Store: store}
	owner := startDaemon(t, "a", muted, runner)
	owner.backends.Put(room(0))
	accepted := newJob("j1", 20)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	muted.isMuted.Store(true)
	time.Sleep(cancelTime)
	owner.backends.Put(room(100))
	muted.isMuted.Store(false)
	requireAllCompleted(t, owner, accepted)
	for _, item := range accepted.Items {
		require.Equal(t, 1, runner.started(item.ID))
	}
}

// countingSender counts what is asked of a sender.
type countingSender struct {
	serving.Sender
	asked atomic.Int64
}

func (c *countingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	c.asked.Add(1)
	return c.Sender.Send(ctx, attempt)
}

// TestItemsOfAJobThatIsBeingEndedAreNotPlaced.
//
// What was found in review: while an end is pursued at the owner, each item is
// placed, takes a slot and a connection, is withheld and comes back 100 ms later, for
// as long as the store turns the end away. Evidence: 750 placings of 50 items in 3 s.
// Each takes room from other jobs for a moment, and may make a connection. A job that
// belongs to no tenant may be ended by any, and its items were not even withheld
// then, because the end is kept under the name of who asked for it.
func TestItemsOfAJobThatIsBeingEndedAreNotPlaced(t *testing.T) {
	for name, tenant := range map[string]string{"by a caller without a name": "", "by a tenant": "acme"} {
		t.Run(name, func(t *testing.T) {
			store, runner := tabletest.NewMemory(), newRunners()
			sender := &countingSender{Sender: runner}
			owner := startSending(t, "a", store, sender)
			owner.backends.Put(room(0))
			require.NoError(t, owner.Submit(t.Context(), newJob("j1", 50)))
			store.SetDecide(func(call string) tabletest.Fault {
				if call == "commit" {
					return tabletest.FaultThrottle
				}
				return tabletest.FaultNone
			})
			left, leave := context.WithCancel(t.Context())
			leave()
			require.Error(t, owner.Of(tenant).Cancel(left, "j1"))
			time.Sleep(lastWatch) // a round of placing that began before the end is over
			owner.backends.Put(room(100))
			time.Sleep(time.Second)
			assert.Zero(t, sender.asked.Load(), "items were placed")
			assert.Zero(t, runner.total(), "items were sent")
		})
	}
}

// TestOwnerThatIsToldOfTheEndStops at once, though its copy of the claims lies behind,
// and is told by the daemon that removed its claim, not by one that found none.
func TestOwnerThatIsToldOfTheEndStops(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	muted := &mutedStore{Store: store}
	owner, other := startDaemon(t, "a", muted, runner), startDaemon(t, "b", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	require.Eventually(t, func() bool { return owner.Followed() >= store.Version() && runner.total() == 20 }, patience, pollTime)
	muted.isMuted.Store(true)
	time.Sleep(lastWatch) // the call that is held goes on
	require.NoError(t, other.End(t.Context(), "j1"))
	require.NoError(t, other.End(t.Context(), "j1"))
	require.Len(t, other.peers.told, 1)
	require.Equal(t, 1, owner.Owned())
	told := other.peers.told[0]
	require.Equal(t, "a", told.owner)
	owner.HandleClaimRemoved(told.job, told.version-1)
	require.Equal(t, 1, owner.Owned(), "an older claim ended")
	owner.HandleClaimRemoved(told.job, told.version)
	require.Zero(t, owner.Owned())
	time.Sleep(time.Second)
	require.Zero(t, owner.Owned(), "the job was taken up again")
	require.Equal(t, 20, runner.total())
}
