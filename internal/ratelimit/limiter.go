package ratelimit

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/telemetry"
	"topazpulley/internal/tenant"
)

const (
	// keeperPatience bounds one question to a keeper: ten times what a quiet
	// daemon of another zone needs. A silent one is passed by for keeperRest.
	keeperPatience = 40 * time.Millisecond
	keeperRest     = 2 * time.Second
	// admissionPatience bounds all questions for one request, to a third of the
	// shortest objective that callers have.
	admissionPatience = 100 * time.Millisecond
	// tellPatience bounds what is told to a keeper after the decision.
	tellPatience = 500 * time.Millisecond
	// restAfter is the time between two refusals of a tenant below which a daemon
	// spares the keepers: it refuses the tenant without asking until there will be
	// room, but no longer than longestRest. Slower than that every request is
	// asked for, because whoever comes first should have the room.
	restAfter   = 50 * time.Millisecond
	longestRest = 250 * time.Millisecond
	// retryAfterAlone is the advice to callers of a daemon that reaches no keeper:
	// another daemon may.
	retryAfterAlone = 300 * time.Millisecond
	// fleetPatience bounds the wait of a request until a daemon that has just
	// started knows the fleet: two calls to a store that many ask at once.
	fleetPatience = 500 * time.Millisecond
	fleetPoll     = 10 * time.Millisecond
	// assumedFleet is the size that is assumed of a fleet that is not known yet.
	assumedFleet = 100
)

// Limiter decides for a daemon whether requests of tenants fit. It is safe for
// concurrent use; mutex guards the fields behind it.
type Limiter struct {
	fleet     Fleet
	tolerance Tolerance
	metrics   *telemetry.Tenants
	log       *slog.Logger
	rankings  *rankings
	// keeping are the buckets of tenants of whose limit this daemon keeps a
	// part; own those by which it decides while it reaches no keeper.
	keeping *buckets
	own     *buckets
	// now is the steady clock, which stands still while the machine sleeps: what flows
	// in meanwhile others grant.
	now func() time.Time

	mutex sync.Mutex
	// silentUntil is by the name of a daemon that did not answer.
	silentUntil map[string]time.Time
	// refused is by tenant.
	refused map[string]refusal
}

// refusal is what keepers told of a tenant that has used up its limit.
type refusal struct {
	at time.Time
	// until is when the tenant is asked for again.
	until  time.Time
	config int64
}

// New returns a limiter.
func New(fleet Fleet, tolerance Tolerance, metrics *telemetry.Tenants, log *slog.Logger) *Limiter {
	made := &Limiter{
		fleet: fleet, tolerance: tolerance, metrics: metrics, log: log,
		keeping: newBuckets(), own: newBuckets(), silentUntil: map[string]time.Time{}, refused: map[string]refusal{},
		now: time.Now,
	}
	made.rankings = newRankings(fleet)
	made.rankings.changed = made.noteGranted
	metrics.SetGranted(wholeReach)
	return made
}

// WatchFleet looks at the fleet until the context ends, while there are limits. A daemon
// that looks only when it is asked does not know, once a part of the fleet is cut off,
// whom it misses: a quarter cut off before anybody had asked admitted 4,146 where 2,660
// are allowed, and 2,053 with this.
func (l *Limiter) WatchFleet(ctx context.Context, hasLimits func() bool) {
	periodic.Run(ctx, rankingAge, func() {
		if hasLimits() {
			l.rankings.watch(l.now())
		}
	})
}

// noteGranted tells that this daemon grants another share of its parts of limits than
// before, because it reaches another part of the fleet.
func (l *Limiter) noteGranted(before, after ranking) {
	l.metrics.SetGranted(after.reach)
	l.log.Info("limit_granted_share_changed",
		"before", before.reach, "after", after.reach, "fleet", after.fleet, "unreached", after.unreached)
}

// Admit decides on one request of a tenant.
func (l *Limiter) Admit(ctx context.Context, name string, limit Limit) Decision {
	started := l.now()
	if !limit.IsBounded() {
		return Decision{IsAdmitted: true, Source: SourceUnlimited, Config: limit.Config}
	}
	made := l.decide(ctx, name, limit, started)
	made.Took = l.now().Sub(started)
	l.metrics.Count(name, made.IsAdmitted)
	l.metrics.CountDecision(string(made.Source), made.IsAdmitted)
	return made
}

func (l *Limiter) decide(ctx context.Context, name string, limit Limit, now time.Time) Decision {
	if wait := l.restOf(name, limit.Config, now); wait > 0 {
		return Decision{RetryAfter: wait, Source: SourceRecent, Config: limit.Config}
	}
	order := l.awaitFleet(ctx, name, now)
	if !order.isKnown || len(order.daemons) == 0 {
		return l.decideAlone(name, limit, order, now)
	}
	bounded, cancel := context.WithTimeout(ctx, admissionPatience)
	defer cancel()
	asking := round{limiter: l, request: takeRequest(name, limit)}
	asking.askKeepers(bounded, order, l.partsOf(limit, order))
	if !asking.isHeard {
		alone := l.decideAlone(name, limit, order, l.now())
		alone.Asked, alone.Silent = asking.best.Asked, asking.best.Silent
		return alone
	}
	if !asking.best.IsAdmitted {
		l.rest(name, asking.best, l.now())
	}
	return asking.best
}

// awaitFleet returns the order of daemons for a tenant. A daemon that has just
// started learns the fleet within moments; a request waits for that, because
// nobody can tell what is left of its tenant's limit.
func (l *Limiter) awaitFleet(ctx context.Context, name string, started time.Time) ranking {
	order := l.rankings.of(name, started)
	for !order.isKnown && l.now().Sub(started) < fleetPatience && periodic.Sleep(ctx, fleetPoll) {
		order = l.rankings.of(name, l.now())
	}
	return order
}

func (l *Limiter) partsOf(limit Limit, order ranking) int {
	return min(l.tolerance.parts(limit.Limit, mostParts), len(order.daemons))
}

func takeRequest(name string, limit Limit) Request {
	return Request{Operation: OperationTake, Tenant: name, PerSecond: limit.PerSecond, Burst: limit.Burst, Config: limit.Config}
}

// round is the questions for one request.
type round struct {
	limiter *Limiter
	request Request
	// best is the decision so far; isHeard tells that some daemon made one.
	best    Decision
	isHeard bool
}

// askKeepers asks the keepers of all parts, from one drawn at random on, until
// one grants, and a further daemon for each keeper that is silent.
func (r *round) askKeepers(ctx context.Context, order ranking, parts int) {
	first := rand.IntN(parts)
	for index := range parts {
		if r.ask(ctx, order.daemons[(first+index)%parts]) {
			return
		}
	}
	for _, standIn := range order.daemons[parts:] {
		if r.best.Asked-parts >= r.best.Silent {
			return
		}
		if r.ask(ctx, standIn) {
			return
		}
	}
}

// ask asks one daemon and reports whether it granted the request.
func (r *round) ask(ctx context.Context, keeper Daemon) bool {
	r.best.Asked++
	answer, err := r.limiter.ask(ctx, keeper, r.request)
	if err != nil {
		r.best.Silent++
		return false
	}
	wait := time.Duration(answer.WaitMilliseconds) * time.Millisecond
	if r.isHeard && !answer.IsGranted && wait >= r.best.RetryAfter {
		return false
	}
	r.isHeard = true
	r.best.IsAdmitted, r.best.RetryAfter, r.best.Coordinator = answer.IsGranted, wait, keeper.Name
	r.best.Level, r.best.Config, r.best.Source = answer.Level, answer.Config, SourceCoordinator
	if answer.IsStandIn {
		r.best.Source = SourceBackup
	}
	return answer.IsGranted
}

// ask sends a request to a keeper, which may be this daemon.
func (l *Limiter) ask(ctx context.Context, keeper Daemon, request Request) (Answer, error) {
	if keeper.Name == l.fleet.Self() {
		return l.Serve(request), nil
	}
	if l.isSilent(keeper.Name, l.now()) {
		return Answer{}, silentError(keeper.Name)
	}
	bounded, cancel := context.WithTimeout(ctx, keeperPatience)
	defer cancel()
	answer, err := l.fleet.Ask(bounded, keeper.Address, request)
	if err != nil && ctx.Err() == nil {
		l.noteSilent(keeper.Name, err, l.now())
	}
	return answer, err
}

// silentError tells that a daemon did not answer a moment ago and was not asked.
type silentError string

// Error implements error.
func (e silentError) Error() string { return "daemon " + string(e) + " was silent a moment ago" }

// Heard notes that another daemon asked this one, which it therefore reaches.
func (l *Limiter) Heard(name string) { l.rankings.heard(name, l.now()) }

// Serve answers a request of another daemon, or of this one.
func (l *Limiter) Serve(request Request) Answer {
	now := l.now()
	order := l.rankings.of(request.Tenant, now)
	limit := Limit{Limit: tenant.Limit{PerSecond: request.PerSecond, Burst: request.Burst}, Config: request.Config}
	rank := order.rank(l.fleet.Self())
	isStandIn := false
	answer := l.keeping.apply(request.Operation, request.Tenant, limit, func(bound tenant.Limit, _ time.Duration) share {
		parts := l.partsOf(Limit{Limit: bound}, order)
		isStandIn = rank < 0 || rank >= parts || !order.isKnown
		if isStandIn {
			return l.tolerance.standIn(bound, l.tolerance.parts(bound, mostParts), order.reach)
		}
		return l.tolerance.part(bound, parts, order.reach)
	}, now)
	answer.IsStandIn = isStandIn
	return answer
}

// decideAlone decides by this daemon's own share of the limit.
func (l *Limiter) decideAlone(name string, limit Limit, order ranking, now time.Time) Decision {
	answer := l.applyAlone(OperationTake, name, limit, order, now)
	wait := time.Duration(answer.WaitMilliseconds) * time.Millisecond
	return Decision{
		IsAdmitted: answer.IsGranted, RetryAfter: min(wait, retryAfterAlone),
		Source: SourceShare, Coordinator: l.fleet.Self(), Level: answer.Level, Config: answer.Config,
	}
}

func (l *Limiter) applyAlone(operation Operation, name string, limit Limit, order ranking, now time.Time) Answer {
	fleet := order.fleet
	if !order.isKnown {
		fleet = max(fleet, assumedFleet)
	}
	return l.own.apply(operation, name, limit, func(bound tenant.Limit, decidedFor time.Duration) share {
		return l.tolerance.alone(bound, fleet).unnoticed(decidedFor)
	}, now)
}

// Charge counts one more run of an admitted request.
func (l *Limiter) Charge(made Decision, name string, limit Limit) {
	l.tell(made, name, limit, OperationCharge)
}

// Return gives back what was granted to a request that never ran.
func (l *Limiter) Return(made Decision, name string, limit Limit) {
	l.tell(made, name, limit, OperationReturn)
}

// tell sends what nobody waits for to the daemon that decided.
func (l *Limiter) tell(made Decision, name string, limit Limit, operation Operation) {
	if !made.IsAdmitted || !limit.IsBounded() {
		return
	}
	request := takeRequest(name, limit)
	request.Operation = operation
	order := l.rankings.of(name, l.now())
	if made.Source == SourceShare {
		l.applyAlone(operation, name, limit, order, l.now())
		return
	}
	rank := order.rank(made.Coordinator)
	if rank < 0 {
		return // no keeper any more: its bucket counts no longer
	}
	go func() {
		bounded, cancel := context.WithTimeout(context.Background(), tellPatience)
		defer cancel()
		if _, err := l.ask(bounded, order.daemons[rank], request); err != nil {
			l.log.Info("limit_not_told", "tenant", name, "keeper", made.Coordinator, "operation", int(operation), "error", err)
		}
	}()
}

func (l *Limiter) isSilent(name string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.silentUntil[name])
}

func (l *Limiter) noteSilent(name string, cause error, now time.Time) {
	l.mutex.Lock()
	isNew := !now.Before(l.silentUntil[name])
	l.silentUntil[name] = now.Add(keeperRest)
	l.mutex.Unlock()
	if isNew {
		l.log.Info("limit_keeper_silent", "keeper", name, "rest_ms", keeperRest.Milliseconds(), "error", cause)
	}
}

// restOf returns for how long a tenant is refused here without asking.
func (l *Limiter) restOf(name string, config int64, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	told, isKnown := l.refused[name]
	if !isKnown || told.config != config || !now.Before(told.until) {
		return 0
	}
	return told.until.Sub(now)
}

// rest notes a refusal and, if refusals follow each other closely, refuses the
// tenant here until a keeper has room for it again.
func (l *Limiter) rest(name string, made Decision, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	noted := refusal{at: now, config: made.Config}
	if now.Sub(l.refused[name].at) < restAfter {
		noted.until = now.Add(min(made.RetryAfter, longestRest))
	}
	l.refused[name] = noted
}
