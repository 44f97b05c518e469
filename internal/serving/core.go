package serving

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/admission"
	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/intake"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/stopping"
	"topazpulley/internal/streamorigin"
	"topazpulley/internal/telemetry"
)

// Core serves online requests. It is safe for concurrent use.
type Core struct {
	Backends *backend.Set
	Sender   Sender
	Holder   *route.Holder
	Metrics  *telemetry.Serving
	Logger   *slog.Logger
	// Fleet returns the number of daemons that share the backends' connections.
	Fleet func() int
	// Zone is the daemon's zone; empty disables zone preference.
	Zone string
	// Limits enforces the tenants' request limits; nil disables them.
	Limits *ratelimit.Limiter
	// Quarantine reports which requests are quarantined; nil disables the check. Sender
	// also refuses such requests: the check here only avoids waits.
	Quarantine *quarantine.Guard
	// OrdersWaiting makes overdue requests yield to requests that can still be on time. If
	// false, each request waits for a slot independently of others.
	OrdersWaiting bool
	// Origins knows where streams that are resumed began.
	Origins *streamorigin.Keeper
	// Clock includes time during which the machine was suspended; nil means the system
	// clock.
	Clock boottime.Clock
	// Wakeups reports resumes from suspension; nil means that a resume is not noticed
	// while a request waits.
	Wakeups *boottime.Wakeups

	// Connector knows the connections to backends; nil means that none is ever missing.
	Connector Connector
	// Stop decides which requests are served while the daemon stops; nil means that it never does.
	// Durations holds how long the requests of a route take.
	Stop      *stopping.Stop
	Durations *stopping.Durations
	// ResponseTimes estimates response times, from which the response timeouts of attempts
	// are derived.
	ResponseTimes *responsetimeout.Estimates

	// requests counts the requests by service.
	requests *intake.Mix

	retries *admission.RetryBudget
	// earlyEnds bounds the searches for a successor that begin before the latest response timeout.
	earlyEnds *admission.RetryBudget
	mutex     sync.Mutex
	random    *rand.Rand
}

const (
	// retryShare is the number of retries per request in the long run, and retryReserve
	// the burst beyond it. They keep retries from sustaining an overload.
	retryShare   = 0.25
	retryReserve = 100
)

// NewCore returns a core with its own random source.
func NewCore(backends *backend.Set, sender Sender, holder *route.Holder, metrics *telemetry.Serving, log *slog.Logger, fleet func() int) *Core {
	return &Core{
		Backends: backends, Sender: sender, Holder: holder, Metrics: metrics, Logger: log, Fleet: fleet,
		ResponseTimes: responsetimeout.NewEstimates(responsetimeout.ModeLearned),
		Origins:       streamorigin.NewKeeper(backends, nil, nil, metrics, log),
		Durations:     stopping.NewDurations(),
		requests:      intake.NewMix(),
		retries:       admission.NewRetryBudget(retryShare, retryReserve),
		earlyEnds:     admission.NewRetryBudget(earlyEndShare, earlyEndReserve),
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Serve serves one request. The context ends when the caller disconnects.
func (c *Core) Serve(ctx context.Context, request Request, responder Responder) {
	end := request.Arrived.Add(request.Route.Timeout)
	if request.Deadline.Before(end) {
		end = request.Deadline
	}
	arrived := request.ArrivedMark
	if arrived.IsZero() {
		arrived = c.Clock.Mark()
	}
	bounded, cancel := c.Wakeups.WithDeadline(ctx, end, arrived)
	defer cancel()
	defer c.Stop.OnEnd(cancel)()
	served := &exchange{
		core: c, request: request, responder: responder, caller: ctx, end: end, arrived: arrived, readAt: time.Now(),
		excluded: map[string]bool{}, silent: map[string]bool{}, lastEvent: request.LastEvent, fingerprint: request.fingerprint(), parts: PartsOf(request.Service, request.Prompt),
	}
	if served.refuseStopping() || served.refuseQuarantined() {
		served.record()
		return
	}
	if !served.admit(bounded) {
		return
	}
	c.requests.Count(request.Service, time.Now())
	c.retries.Earn()
	c.earlyEnds.Earn()
	if served.pinToOrigin(bounded) {
		served.run(bounded)
	}
	served.returnAdmission()
	served.record()
}

// preemptCostMillis is the routing cost, in milliseconds, of a slot for which a batch item
// has to be preempted: two datagrams, the end of the item's connection and the start of
// the request.
const preemptCostMillis = 12

// noBatchCostMillis is the routing cost, in milliseconds, of a backend without batch items
// for a request that found no slot at several backends: half of the cost model's
// QueueMilliseconds.
const noBatchCostMillis = 25

// choose picks a backend for the request and acquires a lease on it.
func (c *Core) choose(request *Request, excluded map[string]bool, allowed preemption) (*backend.Lease, routing.Candidate, bool) {
	chosen, found := c.pick(request, excluded, allowed)
	if !found {
		return nil, routing.Candidate{}, false
	}
	lease, found := c.Backends.Acquire(chosen.ID, backend.Online, request.Prompt)
	return lease, chosen, found
}

// pick picks a backend for the request. If preemption is allowed, slots of batch items
// count as available at a cost.
func (c *Core) pick(request *Request, excluded map[string]bool, allowed preemption) (routing.Candidate, bool) {
	candidates := request.pin.allowed(c.Backends.Candidates(request.Service, request.Prompt, time.Now()))
	c.closeExhausted(request.Service, candidates)
	model := routing.DefaultCostModel()
	model.Zone = c.Zone
	if allowed != preemptNothing {
		model.PreemptMilliseconds = preemptCostMillis
	}
	if allowed == preemptAnywhere {
		model.StaleMilliseconds = noBatchCostMillis
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return routing.ChooseByCost(model, request.Prompt, candidates, excluded, c.random)
}

// spareDaemons reserves connections for daemons that joined and are not known yet.
const spareDaemons = 2

// ConnectionShare returns the maximum number of connections of this daemon to one backend
// of the service.
func (c *Core) ConnectionShare(service string) int {
	current := c.Holder.Current()
	if current == nil {
		return 1
	}
	configured, found := current.Service(service)
	if !found || configured.MaxConnections == 0 {
		return unboundedConnections
	}
	return max(configured.MaxConnections/(c.Fleet()+spareDaemons), 1)
}

const unboundedConnections = 1024
