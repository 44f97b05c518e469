package job_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/quota"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/submissionbuffer"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

const (
	testTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
	itemEvents   = 5
	// maxAttempts is the number of failures after which an item is abandoned.
	maxAttempts = 3
	service     = "generator"
)

// testSubmissionLimits limits the submissions that a daemon of a test buffers.
var testSubmissionLimits = submissionbuffer.Limits{Count: 8, Bytes: 1 << 20}

var discardLogger = slog.New(slog.NewTextHandler(io.Discard, nil))

// fakeBackends answers each item with a number of events and counts attempts.
type fakeBackends struct {
	mutex sync.Mutex
	// pause is the time between events.
	pause time.Duration
	// breakShare is the fraction of attempts that break off after two events.
	breakShare float64
	// status is the answer to an item by its id; 0 means success.
	status map[string]int
	starts map[string]int
	// resumed is the last event after which an attempt was to resume, by item.
	resumed map[string]int64
	// events is the number of events of an item.
	events int64
	// padding is appended to the data of each event, by item.
	padding map[string]string
}

func newFakeBackends() *fakeBackends {
	return &fakeBackends{status: map[string]int{}, starts: map[string]int{}, resumed: map[string]int64{}, events: itemEvents, padding: map[string]string{}}
}

func (f *fakeBackends) resumedAt(id string) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.resumed[id]
}

func (f *fakeBackends) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.starts[attempt.ID]++
	f.resumed[attempt.ID] = max(f.resumed[attempt.ID], attempt.LastEvent)
	sent := &itemAnswer{events: f.events, ctx: ctx, id: attempt.ID, padding: f.padding[attempt.ID], next: attempt.LastEvent + 1, pause: f.pause, status: 200}
	if status := f.status[attempt.ID]; status != 0 {
		sent.status = status
	}
	if rand.Float64() < f.breakShare {
		sent.breakAt = sent.next + 2
	}
	return sent, nil
}

// answerWith sets the status of the answers to an item; 0 means success.
func (f *fakeBackends) answerWith(id string, status int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.status[id] = status
}

// total returns the number of attempts of all items.
func (f *fakeBackends) total() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	count := 0
	for _, each := range f.starts {
		count += each
	}
	return count
}

func (f *fakeBackends) started(id string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.starts[id]
}

type itemAnswer struct {
	events  int64
	ctx     context.Context
	id      string
	padding string
	next    int64
	breakAt int64
	pause   time.Duration
	status  int
}

func (a *itemAnswer) Head() serving.Head {
	return serving.Head{Status: a.status, Signed: true, Events: a.status == 200}
}
func (a *itemAnswer) Load() (backend.Report, bool) { return backend.Report{}, false }
func (a *itemAnswer) Body() ([]byte, error)        { return nil, nil }
func (a *itemAnswer) Transfer() serving.Transfer   { return serving.Transfer{} }
func (a *itemAnswer) Detach()                      {}
func (a *itemAnswer) Close()                       {}

func (a *itemAnswer) Next() (serving.Event, serving.Ending, error) {
	select {
	case <-a.ctx.Done():
		return serving.Event{}, serving.EndingBroken, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case <-time.After(a.pause):
	}
	if a.next > a.events {
		return serving.Event{}, serving.EndingWhole, nil
	}
	if a.breakAt != 0 && a.next >= a.breakAt {
		return serving.Event{}, serving.EndingBroken, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	event := serving.Event{ID: a.next, Data: []byte(eventData(a.id, a.next) + a.padding)}
	a.next++
	return event, serving.EndingNone, nil
}

func eventData(id string, number int64) string { return fmt.Sprintf("%s-%d", id, number) }

// completeText returns the text of a completed item.
func completeText(id string, events int64) string {
	text := ""
	for number := int64(1); number <= events; number++ {
		if number > 1 {
			text += "\n"
		}
		text += eventData(id, number)
	}
	return text
}

// removedClaim is a notification of a removed claim.
type removedClaim struct {
	owner, job string
	version    table.Version
}

// fakePeers is the view of other daemons, which a test controls.
type fakePeers struct {
	// removed are the notifications of removed claims. They are not delivered.
	removed []removedClaim
	// reachable are the daemons that get cancel requests, by name.
	reachable map[string]*daemon
	mutex     sync.Mutex
	gone      map[string]bool
	// suspected are the daemons that do not respond.
	suspected map[string]bool
	rank      int
	// asked are the incarnations in calls of Liveness.
	asked []int64
	// successor is the daemon that takes jobs over from this one.
	successor string
}

func (p *fakePeers) Liveness(name string, incarnation int64) job.Liveness {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.asked = append(p.asked, incarnation)
	if p.gone[name] {
		return job.LivenessGone
	}
	if p.suspected[name] {
		return job.LivenessSuspected
	}
	return job.LivenessAlive
}

func (p *fakePeers) suspect(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspected[name] = true
}

func (p *fakePeers) hasBeenAsked(incarnation int64) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return slices.Contains(p.asked, incarnation)
}

func (p *fakePeers) Rank(string) int { return p.rank }

func (p *fakePeers) Successor(string) string { return p.successor }

func (p *fakePeers) NotifyClaimRemoved(owner, job string, version table.Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removed = append(p.removed, removedClaim{owner: owner, job: job, version: version})
}

// NotifyCancelRequest delivers the request if the owner is reachable.
func (p *fakePeers) NotifyCancelRequest(owner string, wanted job.CancelRequest) {
	p.mutex.Lock()
	target := p.reachable[owner]
	p.mutex.Unlock()
	if target != nil {
		target.HandleCancelRequest(wanted)
	}
}

// connect makes a daemon reachable for cancel requests.
func (p *fakePeers) connect(other *daemon) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reachable == nil {
		p.reachable = map[string]*daemon{}
	}
	p.reachable[other.name] = other
}

func (p *fakePeers) markGone(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.gone[name] = true
}

// soleCoordinator makes each daemon the coordinator of every account.
type soleCoordinator struct{}

func (soleCoordinator) Coordinator(string) (string, bool) { return "", true }
func (soleCoordinator) Apply(context.Context, string, quota.Request) (quota.Answer, error) {
	return quota.Answer{}, context.Canceled
}
func (soleCoordinator) Announce(string) {}

// daemon is a job service with its follower.
type daemon struct {
	*job.Service
	name   string
	events int64
	cancel context.CancelFunc
	peers  *fakePeers
	// backends is the daemon's view of the backends.
	backends *backend.Set
	// incarnation is the daemon's incarnation in the membership.
	incarnation atomic.Int64
	holder      *route.Holder
	// confirmedAt is when the configuration was confirmed last, in Unix nanoseconds; 0 for never.
	confirmedAt atomic.Int64
}

// startDaemon starts a service on the store.
func startDaemon(t *testing.T, name string, store table.Store, fake *fakeBackends) *daemon {
	t.Helper()
	return startWithSettlingTime(t, name, store, fake, 0)
}

// startWithSettlingTime starts a service with a settling time.
func startWithSettlingTime(t *testing.T, name string, store table.Store, fake *fakeBackends, settling time.Duration) *daemon {
	t.Helper()
	return startWithTokenLimit(t, name, store, fake, settling, 0)
}

// startWithTokenLimit starts a service whose route has a limit of queued tokens.
func startWithTokenLimit(t *testing.T, name string, store table.Store, fake *fakeBackends, settling time.Duration, limit int64) *daemon {
	t.Helper()
	started := startService(t, name, store, fake, settling, limit)
	started.events = fake.events
	return started
}

// startWithSender starts a service with its own sender.
func startWithSender(t *testing.T, name string, store table.Store, sender serving.Sender) *daemon {
	t.Helper()
	return startService(t, name, store, sender, 0, 0)
}

func startService(t *testing.T, name string, store table.Store, sender serving.Sender, settling time.Duration, limit int64) *daemon {
	t.Helper()
	backends := backend.NewSet()
	backends.Put(backend.Instance{ID: "one", Version: "v1", Service: service, Slots: 100})
	holder := &route.Holder{}
	holder.Apply(route.Config{Version: 1, Routes: []route.Route{{
		Name: "jobs", Host: "host.example", Prefix: "/jobs/", Kind: route.KindJob, MaxAttempts: maxAttempts, MaxQueuedTokens: limit,
		Targets: []route.Target{{Service: service, Weight: 1}},
	}}}, time.Now())
	started := &daemon{name: name, peers: &fakePeers{gone: map[string]bool{}, suspected: map[string]bool{}}, backends: backends, holder: holder}
	started.incarnation.Store(1)
	availability := table.NewAvailability(store, job.ClaimTable)
	monotonic := table.NewMonotonic(availability)
	follower := &table.Follower{Store: monotonic, Logger: discardLogger, Wait: 100 * time.Millisecond, Partitioned: true}
	accounts := quota.NewAccounts(monotonic, soleCoordinator{}, telemetry.NewQuota(prometheus.NewRegistry()), discardLogger)
	started.Service = job.NewService(job.Dependencies{
		Self: job.Self{Name: name, Incarnation: started.incarnation.Load}, Store: monotonic, Backends: backends, Sender: sender, Holder: holder,
		Peers: started.peers, Metrics: telemetry.NewServing(prometheus.NewRegistry()), Logger: discardLogger, Connections: func(string) int { return 100 }, SettlingTime: settling, Quota: accounts,
		ClaimsAge: follower.Age, Availability: availability, SubmissionLimits: testSubmissionLimits,
		ConfigurationConfirmedAt: func() time.Time { return time.Unix(0, started.confirmedAt.Load()) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	t.Cleanup(cancel)
	follower.Table, follower.Consumer = job.ClaimTable, started.Service
	go follower.Run(ctx)
	go started.Run(ctx)
	return started
}

// Cancel cancels a job that belongs to no tenant.
func (d *daemon) Cancel(ctx context.Context, id string) error { return d.Of("").Cancel(ctx, id) }

func newJob(id string, items int) job.Job {
	made := job.Job{ID: id, Host: "host.example", SubmittedAt: time.Now(), Due: 20 * time.Second}
	for index := range items {
		made.Items = append(made.Items, job.Item{ID: fmt.Sprintf("%s-item%d", id, index), Path: "/jobs/run", Body: []byte{byte(index)}})
	}
	return made
}

// allResults reads a job page by page until no more results are listed. It retries unavailable pages.
func allResults(t *testing.T, reader *daemon, id string) ([]job.Result, int) {
	t.Helper()
	all := []job.Result{}
	for {
		page, err := reader.Results(t.Context(), id, len(all), 0)
		if err != nil {
			require.True(t, failure.Is(err, failure.KindUnavailable), "%v", err)
			continue
		}
		if len(page.Results) == 0 {
			return all, page.Total
		}
		all = append(all, page.Results...)
	}
}

// requireAllCompleted waits until every item of a job is listed, and requires that each is listed once and
// complete, and that listed results do not change.
func requireAllCompleted(t *testing.T, reader *daemon, accepted job.Job) {
	t.Helper()
	listed := []job.Result{}
	require.Eventually(t, func() bool {
		found, total := allResults(t, reader, accepted.ID)
		require.GreaterOrEqual(t, len(found), len(listed), "a result is missing")
		require.Equal(t, listed, found[:len(listed)], "a position changed")
		listed = found
		return total == len(accepted.Items) && len(listed) == total
	}, testTimeout, pollInterval)
	seen := map[string]bool{}
	for _, result := range listed {
		require.False(t, seen[result.Item], "item %s is listed twice", result.Item)
		seen[result.Item] = true
		require.Equal(t, job.StateCompleted, result.State)
		require.Equal(t, completeText(result.Item, reader.events), result.Text)
	}
}
