package job_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/job"
	"topazpulley/internal/serving"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// handoverTime is within what a stop leaves for handing a job over.
const handoverTime = 2 * time.Second

// TestJobAcceptedWhileStoppingIsRunElsewhere: the stopping daemon is not gone yet for the others.
func TestJobAcceptedWhileStoppingIsRunElsewhere(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	stopping, other := startDaemon(t, "a", store, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, stopping, other)
	stopping.Stop(t.Context())
	accepted := newJob("j1", 3)
	require.NoError(t, stopping.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return fake.total() > 0 }, handoverTime, pollInterval, "nobody runs the job")
	requireAllCompleted(t, other, accepted)
}

// slowToEnd is a sender whose first attempt ends some time after its context.
type slowToEnd struct {
	*fakeBackends
	isFirst chan struct{}
	delay   time.Duration
}

func (s *slowToEnd) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	select {
	case s.isFirst <- struct{}{}:
		<-ctx.Done()
		time.Sleep(s.delay)
		return nil, ctx.Err()
	default:
		return s.fakeBackends.Send(ctx, attempt)
	}
}

// TestNoItemStartsWhileItsJobIsReleased: a round of dispatching goes on while the daemon stops.
func TestNoItemStartsWhileItsJobIsReleased(t *testing.T) {
	fake := newFakeBackends()
	fake.events, fake.pause = 200, 20*time.Millisecond
	sender := &slowToEnd{fakeBackends: fake, isFirst: make(chan struct{}, 1), delay: 300 * time.Millisecond}
	owner := startWithSender(t, "a", tabletest.NewMemory(), sender)
	setSlots(owner, 1)
	require.NoError(t, owner.Submit(t.Context(), newJob("j1", 5)))
	require.Eventually(t, func() bool { return len(sender.isFirst) == 1 }, testTimeout, pollInterval)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		owner.Stop(t.Context())
	}()
	require.Eventually(t, func() bool { return job.IsStopping(owner.Service) }, testTimeout, time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	setSlots(owner, 100)
	job.DispatchLate(owner.Service, "j1")
	select {
	case <-stopped:
	case <-time.After(handoverTime):
		require.Fail(t, "the job is not handed over", "%d items run", fake.total())
	}
	require.Zero(t, fake.total(), "items were started")
}

func setSlots(d *daemon, slots int) {
	d.backends.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: slots})
}

// objectlessStore is a store that stores no objects, and commits nothing for callers that have left.
type objectlessStore struct{ table.Store }

func (o *objectlessStore) PutObject(context.Context, string, []byte) error {
	return &table.Error{Kind: table.ErrorNotDone, Call: "put_object"}
}

func (o *objectlessStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	if ctx.Err() != nil {
		return 0, &table.Error{Kind: table.ErrorNotDone, Call: "commit"}
	}
	return o.Store.Commit(ctx, transaction)
}

// TestResultThatCannotBeStoredDelaysNoHandover: the claim is given back before the time of the stop is over.
func TestResultThatCannotBeStoredDelaysNoHandover(t *testing.T) {
	store, fake := tabletest.NewMemory(), newFakeBackends()
	fake.events, fake.pause = 150, 10*time.Millisecond
	fake.padding["j1-item0"] = strings.Repeat("x", table.MaxRowBytes/2)
	owner, other := startDaemon(t, "a", &objectlessStore{Store: store}, fake), startDaemon(t, "b", store, fake)
	requireFollowed(t, store, owner, other)
	accepted := newJob("j1", 1)
	require.NoError(t, owner.Submit(t.Context(), accepted))
	require.Eventually(t, func() bool { return job.Finished(owner.Service, "j1") == 1 }, testTimeout, pollInterval)
	ctx, cancel := context.WithTimeout(t.Context(), handoverTime)
	defer cancel()
	owner.Stop(ctx)
	require.Eventually(t, func() bool { return other.Owned() == 1 }, handoverTime, pollInterval, "the claim is not given back")
}
