package job_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// throttleCommits has a store turn all commits away.
func throttleCommits(call string) tabletest.Fault {
	if call == "commit" {
		return tabletest.FaultThrottle
	}
	return tabletest.FaultNone
}

// endAndLeave asks a daemon for the end of a tenant's job without waiting for it.
func endAndLeave(t *testing.T, at *daemon, tenant, id string) {
	t.Helper()
	left, leave := context.WithCancel(t.Context())
	leave()
	require.Error(t, at.Of(tenant).Cancel(left, id))
}

// kill ends a daemon, and waits until it calls the store no more for ends.
func (d *daemon) kill(t *testing.T) {
	t.Helper()
	d.cancel()
	d.AwaitCancellations(t.Context())
}

// requireKnown waits until a daemon has heard of all claims.
func requireKnown(t *testing.T, store *tabletest.Memory, daemons ...*daemon) {
	t.Helper()
	for _, each := range daemons {
		require.Eventually(t, func() bool { return each.Followed() >= store.Version() }, patience, pollTime)
	}
}

// TestOwnerPursuesTheEndThatADaemonTookAndDied.
//
// What users may see: backends run items of jobs that their clients ended.
// Order of events: the store turns commits away; a client ends a job at a daemon that
// does not own it; that daemon is killed; the store serves again; there is room, and the
// owner, which has heard of nothing, sends the items. Cause: an end lived in the memory
// of the daemon that took it. Evidence: this test, before the owner was told of ends
// that are not done yet: 100 of 100 waiting items were sent.
func TestOwnerPursuesTheEndThatADaemonTookAndDied(t *testing.T) {
	for name, tenant := range map[string]string{"by a caller without a name": "", "by a tenant": "acme"} {
		t.Run(name, func(t *testing.T) {
			store, runner := tabletest.NewMemory(), newRunners()
			runner.pause = time.Minute
			owner, taker := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
			taker.peers.reach(owner)
			owner.backends.Put(room(0))
			accepted := newJob("j1", 100)
			accepted.Tenant = tenant
			require.NoError(t, owner.Submit(t.Context(), accepted))
			requireKnown(t, store, owner, taker)
			store.SetDecide(throttleCommits)
			endAndLeave(t, taker, tenant, "j1")
			time.Sleep(lastWatch) // the end is taken, and turned away
			taker.kill(t)
			store.SetDecide(nil)
			owner.backends.Put(room(100))
			time.Sleep(cancelTime)
			assert.Zero(t, runner.total(), "items of the ended job were sent")
			require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime, "the job goes on")
			require.Zero(t, runner.total())
		})
	}
}

// refusingStore takes no commits.
type refusingStore struct{ table.Store }

func (refusingStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	return 0, &table.Error{Kind: table.ErrorThrottled, Call: "commit"}
}

// TestNextOwnerIsToldOfAWantedEnd: the owner was told, or not, and dies; another daemon
// takes the job over, and ends it for the one that cannot.
func TestNextOwnerIsToldOfAWantedEnd(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, next := startDaemon(t, "a", store, runner), startDaemon(t, "c", store, runner)
	taker := startDaemon(t, "b", refusingStore{Store: store}, runner)
	taker.peers.reach(next)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireKnown(t, store, taker, next)
	endAndLeave(t, taker, "", "j1")
	owner.kill(t)
	next.peers.kill("a")
	require.Eventually(t, func() bool { return next.Owned() == 1 }, patience, pollTime, "the job was not taken over")
	require.Eventually(t, func() bool { return !next.KnowsOpen("j1") && next.Owned() == 0 }, patience, pollTime, "the job goes on")
}

// TestTakerPursuesAnEndWhoseOwnerDied: the owner was told, and dies.
func TestTakerPursuesAnEndWhoseOwnerDied(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, taker := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	taker.peers.reach(owner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireKnown(t, store, owner, taker)
	store.SetDecide(throttleCommits)
	endAndLeave(t, taker, "", "j1")
	time.Sleep(lastWatch)
	owner.kill(t)
	store.SetDecide(nil)
	require.Eventually(t, func() bool { return !taker.KnowsOpen("j1") }, patience, pollTime, "the job goes on")
}

// TestEndOutlivesTheOwnerThatTookIt: the owner itself takes the end and dies. Before the
// daemon was told that takes the job over, it sent 100 of 100 items.
func TestEndOutlivesTheOwnerThatTookIt(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, next := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	owner.peers.reach(next)
	owner.peers.successor = "b"
	owner.backends.Put(room(0))
	accepted := newJob("j1", 100)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireKnown(t, store, owner, next)
	store.SetDecide(throttleCommits)
	endAndLeave(t, owner, "", "j1")
	time.Sleep(lastWatch) // the end is taken, and turned away
	owner.kill(t)
	next.peers.kill("a")
	store.SetDecide(nil)
	time.Sleep(cancelTime)
	assert.Zero(t, runner.total(), "items of the ended job were sent")
	require.Eventually(t, func() bool { return !next.KnowsOpen("j1") && next.Owned() == 0 }, patience, pollTime, "the job goes on")
}

// TestWantedEndOfAnotherTenantIsNotHeard: neither where it is taken nor by the owner.
func TestWantedEndOfAnotherTenantIsNotHeard(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, taker := startDaemon(t, "a", store, runner), startDaemon(t, "b", store, runner)
	owner.backends.Put(room(0))
	accepted := newJob("j1", 20)
	accepted.Tenant = "acme"
	require.NoError(t, owner.Submit(t.Context(), accepted))
	requireKnown(t, store, owner, taker)
	taker.peers.reach(owner)
	require.Error(t, taker.Of("other").Cancel(t.Context(), "j1"))
	require.Zero(t, owner.EndsUnderWay(), "the end was told")
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Tenant: "other", Remaining: time.Minute})
	owner.backends.Put(room(100))
	require.Eventually(t, func() bool { return runner.total() == 20 }, patience, pollTime, "items were held for another tenant")
	require.Eventually(t, func() bool { return owner.EndsUnderWay() == 0 }, patience, pollTime)
	require.Equal(t, 1, owner.Owned())
}

// TestWantedEndLastsNoLongerThanWhereItWasTaken: ends that are told on would otherwise
// be pursued without end by daemons that tell each other.
func TestWantedEndLastsNoLongerThanWhereItWasTaken(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner := startDaemon(t, "a", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	store.SetDecide(throttleCommits)
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1"})
	require.Zero(t, owner.EndsUnderWay(), "an end whose time is over was taken")
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Remaining: 2 * time.Second})
	require.Equal(t, 1, owner.EndsUnderWay())
	require.Eventually(t, func() bool { return owner.EndsUnderWay() == 0 }, patience, pollTime)
	store.SetDecide(nil)
	require.Equal(t, 1, owner.Owned(), "the end went on")
}

// TestCallerOfAnEndThatWasToldIsAnswered: who ends the same job at its owner has the
// owner call the store at once.
func TestCallerOfAnEndThatWasToldIsAnswered(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner := startDaemon(t, "a", store, runner)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	owner.HandleCancelRequest(job.CancelRequest{Job: "j1", Remaining: time.Minute})
	require.NoError(t, owner.End(t.Context(), "j1"))
	require.Zero(t, owner.Owned())
}

// cutOffStore serves nothing.
type cutOffStore struct{ table.Store }

func (cutOffStore) Read(context.Context, table.Range) (table.Page, error) {
	return table.Page{}, &table.Error{Kind: table.ErrorUnknown, Call: "read"}
}

func (cutOffStore) Watch(ctx context.Context, _ string, _ table.Version, _ time.Duration) (table.Changes, error) {
	return watchInVain(ctx)
}

func (cutOffStore) Commit(context.Context, table.Transaction) (table.Version, error) {
	return 0, &table.Error{Kind: table.ErrorUnknown, Call: "commit"}
}

// TestEndOfAJobThatIsNotKnownYetOutlivesItsTaker: a client ends a job some milliseconds
// after its acceptance, at a daemon that has not heard of the job and cannot reach the
// store, and that is killed. It did not know whom to tell, and the job ran on: three times
// in three, for up to 39 s, in a play of five daemons as processes.
func TestEndOfAJobThatIsNotKnownYetOutlivesItsTaker(t *testing.T) {
	store, runner := tabletest.NewMemory(), newRunners()
	runner.pause = time.Minute
	owner, next := startDaemon(t, "a", store, runner), startDaemon(t, "c", store, runner)
	taker := startDaemon(t, "b", cutOffStore{Store: store}, runner)
	taker.peers.reach(next)
	taker.peers.successor = "c"
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 20)))
	requireKnown(t, store, next)
	endAndLeave(t, taker, "", "j1")
	time.Sleep(lastWatch)
	taker.kill(t)
	require.Eventually(t, func() bool { return owner.Owned() == 0 }, patience, pollTime, "the job goes on")
}
