package job_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
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
	patience   = 30 * time.Second
	pollTime   = 10 * time.Millisecond
	itemEvents = 5
	service    = "generator"
)

// heldInTests bounds the submissions that a daemon of a test holds.
var heldInTests = submissionbuffer.Limits{Count: 8, Bytes: 1 << 20}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// runners answers items with itemEvents events each. It counts what runs.
type runners struct {
	mutex sync.Mutex
	// pause is the time between events.
	pause time.Duration
	// breakShare is the share of attempts that break off after two events.
	breakShare float64
	// status is the answer to an item by its id; 0 means success.
	status map[string]int
	starts map[string]int
	// resumed is the last event behind which a run was asked to go on.
	resumed map[string]int64
	// events is the number of events of an item.
	events int64
}

func newRunners() *runners {
	return &runners{status: map[string]int{}, starts: map[string]int{}, resumed: map[string]int64{}, events: itemEvents}
}

func (r *runners) resumedAt(id string) int64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.resumed[id]
}

func (r *runners) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.starts[attempt.ID]++
	r.resumed[attempt.ID] = max(r.resumed[attempt.ID], attempt.LastEvent)
	sent := &itemAnswer{events: r.events, ctx: ctx, id: attempt.ID, next: attempt.LastEvent + 1, pause: r.pause, status: 200}
	if status := r.status[attempt.ID]; status != 0 {
		sent.status = status
	}
	if rand.Float64() < r.breakShare {
		sent.breakAt = sent.next + 2
	}
	return sent, nil
}

// total is how many attempts at items came.
func (r *runners) total() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := 0
	for _, each := range r.starts {
		count += each
	}
	return count
}

func (r *runners) started(id string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.starts[id]
}

type itemAnswer struct {
	events  int64
	ctx     context.Context
	id      string
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
func (a *itemAnswer) Detach()                      {}
func (a *itemAnswer) Close()                       {}

func (a *itemAnswer) Next() (serving.Event, error) {
	select {
	case <-a.ctx.Done():
		return serving.Event{}, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	case <-time.After(a.pause):
	}
	if a.next > a.events {
		return serving.Event{}, io.EOF
	}
	if a.breakAt != 0 && a.next >= a.breakAt {
		return serving.Event{}, &serving.AttemptError{Outcome: serving.OutcomeUnknown, Reason: serving.ReasonBroken}
	}
	event := serving.Event{ID: a.next, Data: []byte(eventData(a.id, a.next))}
	a.next++
	return event, nil
}

func eventData(id string, number int64) string { return fmt.Sprintf("%s-%d", id, number) }

// wholeText is the text of a completed item.
func wholeText(id string, events int64) string {
	text := ""
	for number := int64(1); number <= events; number++ {
		if number > 1 {
			text += "\n"
		}
		text += eventData(id, number)
	}
	return text
}

// toldEnd is an end that a daemon told another.
type toldEnd struct {
	owner, job string
	version    table.Version
}

// livePeers tells which daemons a test has killed.
type livePeers struct {
	// told are the ends that were told, none of which arrives by itself.
	told []toldEnd
	// reached are the daemons, by name, that hear of wanted ends.
	reached map[string]*daemon
	mutex   sync.Mutex
	gone    map[string]bool
	// suspected are daemons that are not heard.
	suspected map[string]bool
	rank      int
	// successor is who takes jobs over from this daemon.
	successor string
}

func (p *livePeers) Liveness(name string, _ int64) job.Liveness {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.gone[name] {
		return job.LivenessGone
	}
	if p.suspected[name] {
		return job.LivenessSuspected
	}
	return job.LivenessAlive
}

func (p *livePeers) suspect(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.suspected[name] = true
}

func (p *livePeers) Rank(string) int { return p.rank }

func (p *livePeers) Successor(string) string { return p.successor }

func (p *livePeers) NotifyClaimRemoved(owner, job string, version table.Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.told = append(p.told, toldEnd{owner: owner, job: job, version: version})
}

// NotifyCancelRequest has the owner hear of the end, if it is reached.
func (p *livePeers) NotifyCancelRequest(owner string, wanted job.CancelRequest) {
	p.mutex.Lock()
	told := p.reached[owner]
	p.mutex.Unlock()
	if told != nil {
		told.HandleCancelRequest(wanted)
	}
}

// reach has a daemon hear of wanted ends from now on.
func (p *livePeers) reach(other *daemon) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reached == nil {
		p.reached = map[string]*daemon{}
	}
	p.reached[other.name] = other
}

func (p *livePeers) kill(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.gone[name] = true
}

// alone is the view of a daemon that commits for itself.
type alone struct{}

func (alone) Coordinator(string) (string, bool) { return "", true }
func (alone) Apply(context.Context, string, quota.Request) (quota.Answer, error) {
	return quota.Answer{}, context.Canceled
}
func (alone) Announce(string) {}

// daemon is one job service with its follower.
type daemon struct {
	*job.Service
	name   string
	events int64
	cancel context.CancelFunc
	peers  *livePeers
	// backends is what the daemon knows of the backends.
	backends *backend.Set
}

// startDaemon starts a service over the store. wrap may stand in front of the
// store for this daemon alone.
func startDaemon(t *testing.T, name string, store table.Store, runner *runners) *daemon {
	t.Helper()
	return startSettling(t, name, store, runner, 0)
}

// startSettling starts a service that waits so long for news of other daemons.
func startSettling(t *testing.T, name string, store table.Store, runner *runners, settling time.Duration) *daemon {
	t.Helper()
	return startBounded(t, name, store, runner, settling, 0)
}

// startBounded starts a service on whose route so many tokens may wait.
func startBounded(t *testing.T, name string, store table.Store, runner *runners, settling time.Duration, limit int64) *daemon {
	t.Helper()
	started := startSender(t, name, store, runner, settling, limit)
	started.events = runner.events
	return started
}

// startSending starts a service that sends through a sender.
func startSending(t *testing.T, name string, store table.Store, sender serving.Sender) *daemon {
	t.Helper()
	return startSender(t, name, store, sender, 0, 0)
}

func startSender(t *testing.T, name string, store table.Store, sender serving.Sender, settling time.Duration, limit int64) *daemon {
	t.Helper()
	backends := backend.NewSet()
	backends.Put(backend.Instance{ID: "one", Service: service, Slots: 100})
	holder := &route.Holder{}
	holder.Apply(route.Config{Version: 1, Routes: []route.Route{{
		Name: "jobs", Host: "host.example", Prefix: "/jobs/", Kind: route.KindJob, MaxAttempts: 3, MaxQueuedTokens: limit,
		Targets: []route.Target{{Service: service, Weight: 1}},
	}}}, time.Now())
	started := &daemon{name: name, peers: &livePeers{gone: map[string]bool{}, suspected: map[string]bool{}}, backends: backends}
	availability := table.NewAvailability(store, job.ClaimTable)
	monotonic := table.NewMonotonic(availability)
	follower := &table.Follower{Store: monotonic, Logger: quiet, Wait: 100 * time.Millisecond, Partitioned: true}
	accounts := quota.NewAccounts(monotonic, alone{}, telemetry.NewQuota(prometheus.NewRegistry()), quiet)
	started.Service = job.NewService(job.Dependencies{
		Self: job.Self{Name: name, Incarnation: 1}, Store: monotonic, Backends: backends, Sender: sender, Holder: holder,
		Peers: started.peers, Metrics: telemetry.NewServing(prometheus.NewRegistry()), Logger: quiet, Connections: func(string) int { return 100 }, SettlingTime: settling, Quota: accounts,
		ClaimsAge: follower.Age, Availability: availability, SubmissionLimits: heldInTests,
	})
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	t.Cleanup(cancel)
	follower.Table, follower.Consumer = job.ClaimTable, started.Service
	go follower.Run(ctx)
	go started.Run(ctx)
	return started
}

// End ends a job that belongs to no tenant.
func (d *daemon) End(ctx context.Context, id string) error { return d.Of("").Cancel(ctx, id) }

func newJob(id string, items int) job.Job {
	made := job.Job{ID: id, Host: "host.example", SubmittedAt: time.Now(), Due: 20 * time.Second}
	for index := range items {
		made.Items = append(made.Items, job.Item{ID: fmt.Sprintf("%s-item%d", id, index), Path: "/jobs/run", Body: []byte{byte(index)}})
	}
	return made
}

// allResults reads a job from the start until nothing more is listed. A page
// that cannot be read is asked for again: an error is no answer.
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

// requireAllCompleted waits until every item of a job is listed and checks
// that each stands there once and whole.
func requireAllCompleted(t *testing.T, reader *daemon, accepted job.Job) {
	t.Helper()
	listed := []job.Result{}
	require.Eventually(t, func() bool {
		found, total := allResults(t, reader, accepted.ID)
		require.GreaterOrEqual(t, len(found), len(listed), "a result is gone")
		require.Equal(t, listed, found[:len(listed)], "a position changed")
		listed = found
		return total == len(accepted.Items) && len(listed) == total
	}, patience, pollTime)
	seen := map[string]bool{}
	for _, result := range listed {
		require.False(t, seen[result.Item], "item %s stands twice", result.Item)
		seen[result.Item] = true
		require.Equal(t, job.StateCompleted, result.State)
		require.Equal(t, wholeText(result.Item, reader.events), result.Text)
	}
}
