package job_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// submitWithLateCommit submits a job whose commit takes effect late, until the call times out.
func submitWithLateCommit(t *testing.T, store *tabletest.Memory, at *daemon, submitted job.Job) {
	t.Helper()
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" {
			return tabletest.FaultLate
		}
		return tabletest.FaultNone
	})
	bounded, cancel := context.WithTimeout(t.Context(), watchWait)
	defer cancel()
	require.Error(t, at.Submit(bounded, submitted))
	store.SetDecide(nil)
}

// TestCancelBeforeAcceptancePreventsRun: no item of a job is sent if the job is cancelled before
// its acceptance commit takes effect. A later submission of the same job is accepted.
func TestCancelBeforeAcceptancePreventsRun(t *testing.T) {
	for name, tenant := range map[string]string{"without a tenant": "", "of a tenant": "acme"} {
		t.Run(name, func(t *testing.T) {
			store, fake := tabletest.NewMemory(), newFakeBackends()
			owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
			requireFollowed(t, store, owner, other)
			submitted := newJob("j1", 20)
			submitted.Tenant = tenant
			submitWithLateCommit(t, store, owner, submitted)
			require.True(t, failure.Is(other.Of(tenant).Cancel(t.Context(), "j1"), failure.KindNotFound))
			store.Settle()
			time.Sleep(time.Second)
			require.Zero(t, fake.total(), "items of the cancelled job were sent")
			require.Zero(t, owner.Owned())
			// A submission after the answer 404 is a new one.
			require.NoError(t, owner.Submit(t.Context(), submitted))
			requireAllCompleted(t, owner, submitted)
		})
	}
}

// sometimesRefusingStore refuses commits while isRefusing is set.
type sometimesRefusingStore struct {
	table.Store
	isRefusing atomic.Bool
}

func (s *sometimesRefusingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if s.isRefusing.Load() {
		return refusingStore{}.Commit(ctx, transaction)
	}
	return s.Store.Commit(ctx, transaction)
}

// TestCancelRefusesPendingSubmission: a cancel request for a pending submission refuses it as
// not run. A later submission is accepted.
func TestCancelRefusesPendingSubmission(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	refusing := &sometimesRefusingStore{Store: store}
	owner, other := startDaemon(t, "a", refusing, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, owner, other)
	refusing.isRefusing.Store(true)
	submitted := newJob("j1", 20)
	answered := make(chan error, 1)
	go func() { answered <- owner.Submit(t.Context(), submitted) }()
	time.Sleep(watchWait)
	require.True(t, failure.Is(other.Cancel(t.Context(), "j1"), failure.KindNotFound))
	refusing.isRefusing.Store(false)
	err := <-answered
	require.Error(t, err)
	require.True(t, failure.From(err).NotRun, "%v", err)
	time.Sleep(watchWait)
	require.Zero(t, fake.total())
	require.NoError(t, other.Submit(t.Context(), submitted))
	requireAllCompleted(t, other, submitted)
}

// TestCancelAppliesToAcceptanceCommittedFirst: the acceptance is committed before the
// cancellation voids it: the job is cancelled as an open job.
func TestCancelAppliesToAcceptanceCommittedFirst(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	owner, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, owner, other)
	var isLate atomic.Bool
	isLate.Store(true)
	store.SetDecide(func(call string) tabletest.Fault {
		if call == "commit" && isLate.Load() {
			return tabletest.FaultLate
		}
		return tabletest.FaultNone
	})
	answered := make(chan error, 1)
	go func() { answered <- owner.Submit(t.Context(), newJob("j1", 20)) }()
	time.Sleep(watchWait)
	left, leave := context.WithTimeout(t.Context(), watchWait)
	defer leave()
	require.Error(t, other.Cancel(left, "j1")) // continues in the background: its own commit is late
	isLate.Store(false)
	store.Settle() // commits the acceptance first
	require.NoError(t, <-answered)
	require.Eventually(t, func() bool { return other.PendingCancellations() == 0 }, testTimeout, pollInterval)
	require.Eventually(t, func() bool { return owner.Owned() == 0 && !owner.KnowsOpen("j1") && !other.KnowsOpen("j1") }, testTimeout, pollInterval)
}

// TestOtherTenantsCancelKeepsPendingSubmission: a cancel request of one tenant must not void
// a pending submission of another tenant.
func TestOtherTenantsCancelKeepsPendingSubmission(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	refusing := &sometimesRefusingStore{Store: store}
	owner, other := startDaemon(t, "a", refusing, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, owner, other)
	refusing.isRefusing.Store(true)
	submitted := newJob("j1", 20)
	submitted.Tenant = "acme"
	answered := make(chan error, 1)
	go func() { answered <- owner.Submit(t.Context(), submitted) }()
	time.Sleep(watchWait)
	require.True(t, failure.Is(other.Of("other").Cancel(t.Context(), "j1"), failure.KindNotFound))
	refusing.isRefusing.Store(false)
	require.NoError(t, <-answered)
	requireAllCompleted(t, owner, submitted)
}

// acceptanceRefusingStore refuses acceptances and records the first attempt.
type acceptanceRefusingStore struct {
	table.Store
	wasTried *atomic.Bool
}

func (s acceptanceRefusingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	for _, write := range transaction.Writes {
		if write.Table == "job" {
			s.wasTried.Store(true)
			return refusingStore{}.Commit(ctx, transaction)
		}
	}
	return s.Store.Commit(ctx, transaction)
}

// TestReservationOfEarlyCanceledJobIsSwept: the row that voids the acceptance exists before
// the sweep; the sweep must free the reservation all the same.
func TestReservationOfEarlyCanceledJobIsSwept(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.pause = time.Minute
	var wasTried atomic.Bool
	owner, other := startWithTokenLimit(t, "a", acceptanceRefusingStore{Store: store, wasTried: &wasTried}, fake, 0, 1000), startWithTokenLimit(t, "b", store, fake, 0, 1000)
	requireFollowed(t, store, owner, other)
	large, next := newJob("j1", 1), newJob("j2", 1)
	large.Items[0].Tokens, next.Items[0].Tokens = 900, 900
	go func() { _ = owner.Submit(t.Context(), large) }()
	require.Eventually(t, wasTried.Load, testTimeout, pollInterval, "no acceptance was attempted")
	require.True(t, failure.Is(other.Cancel(t.Context(), "j1"), failure.KindNotFound))
	owner.cancel() // the reservation is not released
	require.True(t, failure.Is(other.Submit(t.Context(), next), failure.KindOverloaded), "nothing is reserved")
	require.Eventually(t, func() bool { return other.Submit(t.Context(), next) == nil }, testTimeout, pollInterval, "the reservation was not swept")
}
