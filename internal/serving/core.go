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
	"topazpulley/internal/quarantine"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/routing"
	"topazpulley/internal/telemetry"
)

// Core answers online requests. It is safe for concurrent use.
type Core struct {
	Backends *backend.Set
	Sender   Sender
	Holder   *route.Holder
	Metrics  *telemetry.Serving
	Logger   *slog.Logger
	// Fleet returns the number of daemons that share the backends'
	// connections.
	Fleet func() int
	// Zone is the daemon's own; empty means that zones do not matter.
	Zone string
	// Limits bounds the requests of tenants; nil means no bounds.
	Limits *ratelimit.Limiter
	// Quarantine tells which requests are not sent to backends; nil means that all
	// are. Sender asks it too: here it only saves a wait that must end in a refusal.
	Quarantine *quarantine.Guard
	// OrdersWaiting has requests that cannot be in time any more make way for those
	// that can; false means that each waits for a place by itself.
	OrdersWaiting bool
	// Clock counts the time for which the machine sleeps; nil means the system's.
	Clock boottime.Clock
	// Wakeups tells that the machine has slept; nil means that this is not noticed
	// while a request waits.
	Wakeups *boottime.Wakeups

	// Patience tells how long attempts may stay silent.
	Patience *responsetimeout.Estimates

	retries *admission.RetryBudget
	// silences bounds the attempts that are ended before their latest patience.
	silences *admission.RetryBudget
	mutex    sync.Mutex
	random   *rand.Rand
}

const (
	// retryShare is the part of the requests that further attempts may add in
	// the long run, and retryReserve what they may add at once, so that retries
	// do not keep an overload going.
	retryShare   = 0.25
	retryReserve = 100
)

// NewCore returns a core with its own source of randomness.
func NewCore(backends *backend.Set, sender Sender, holder *route.Holder, metrics *telemetry.Serving, log *slog.Logger, fleet func() int) *Core {
	return &Core{
		Backends: backends, Sender: sender, Holder: holder, Metrics: metrics, Logger: log, Fleet: fleet,
		Patience: responsetimeout.NewEstimates(responsetimeout.ModeLearned),
		retries:  admission.NewRetryBudget(retryShare, retryReserve),
		silences: admission.NewRetryBudget(silenceShare, silenceReserve),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// Serve answers one request. The context ends when the caller leaves.
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
	served := &exchange{
		core: c, request: request, responder: responder, caller: ctx, end: end, arrived: arrived,
		excluded: map[string]bool{}, lastEvent: request.LastEvent, fingerprint: request.fingerprint(),
	}
	if served.refuseQuarantined() {
		served.record()
		return
	}
	if !served.admit(bounded) {
		return
	}
	c.retries.Earn()
	c.silences.Earn()
	served.run(bounded)
	served.settle()
	served.record()
}

// giveWayCost is what a slot that a batch item has yet to leave costs a request
// that preempts it, in milliseconds: two datagrams, the end of the item's
// connection and the start of the request.
const giveWayCost = 12

// doubtCost is what a backend without batch items costs a request that several
// backends had no place for, in milliseconds: half of the wait for a slot.
const doubtCost = 25

// choose picks a backend for the request and counts the request there.
func (c *Core) choose(request *Request, excluded map[string]bool, allowed preemption) (*backend.Lease, routing.Candidate, bool) {
	chosen, found := c.pick(request, excluded, allowed)
	if !found {
		return nil, routing.Candidate{}, false
	}
	lease, found := c.Backends.Acquire(chosen.ID, backend.Online, request.Prompt)
	return lease, chosen, found
}

// pick picks a backend for the request. One that preempts finds room where
// batch items run.
func (c *Core) pick(request *Request, excluded map[string]bool, allowed preemption) (routing.Candidate, bool) {
	candidates := c.Backends.Candidates(request.Service, request.Prompt, time.Now())
	model := routing.DefaultCostModel()
	model.Zone = c.Zone
	if allowed != preemptNothing {
		model.PreemptMilliseconds = giveWayCost
	}
	if allowed == preemptAnywhere {
		model.StaleMilliseconds = doubtCost
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return routing.ChooseByCost(model, request.Prompt, candidates, excluded, c.random)
}

// spareDaemons is the reserve for daemons that join without being known yet.
const spareDaemons = 2

// ConnectionShare returns how many connections to one backend of the service
// this daemon may hold.
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
