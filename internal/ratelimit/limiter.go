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
	// coordinatorTimeout bounds one request to a coordinator. A coordinator that did not answer
	// is not asked again for silentRetryTime.
	coordinatorTimeout = 40 * time.Millisecond
	silentRetryTime    = 2 * time.Second
	// admissionTimeout bounds all requests to coordinators for one decision.
	admissionTimeout = 100 * time.Millisecond
	// notifyTimeout bounds a charge or return that is sent after the decision.
	notifyTimeout = 500 * time.Millisecond
	// minRefusalGap and maxLocalRefusal control local refusals: a tenant with two refusals
	// within minRefusalGap is refused locally until its retry time, but for at most
	// maxLocalRefusal. Otherwise every request is sent to a coordinator.
	minRefusalGap   = 50 * time.Millisecond
	maxLocalRefusal = 250 * time.Millisecond
	// retryAfterOwnShare is the retry delay while no coordinator is reached: another daemon may
	// reach one.
	retryAfterOwnShare = 300 * time.Millisecond
	// fleetTimeout bounds the wait of a request for a known fleet after the daemon's start.
	fleetTimeout      = 500 * time.Millisecond
	fleetPollInterval = 10 * time.Millisecond
	// assumedFleetSize is the fleet size assumed until the fleet is known.
	assumedFleetSize = 100
)

// Limiter decides whether tenants' requests are within their limits. It is safe for concurrent
// use; mutex guards the fields after it.
type Limiter struct {
	fleet     Fleet
	tolerance Tolerance
	metrics   *telemetry.Tenants
	log       *slog.Logger
	rankings  *rankings
	// shardBuckets are the buckets that this daemon grants from as a coordinator or backup;
	// ownBuckets those that it uses while it reaches no coordinator.
	shardBuckets *buckets
	ownBuckets   *buckets
	// now is the monotonic clock, which stops while the machine is suspended: other daemons
	// grant the tokens accrued meanwhile.
	now func() time.Time

	mutex sync.Mutex
	// silentUntil is the time until which a daemon is not asked, by name.
	silentUntil map[string]time.Time
	// refused holds the last refusal by tenant.
	refused map[string]refusal
}

// refusal is the coordinators' last refusal of a tenant.
type refusal struct {
	at time.Time
	// until is the time before which requests are refused locally.
	until  time.Time
	config int64
}

// New returns a limiter.
func New(fleet Fleet, tolerance Tolerance, metrics *telemetry.Tenants, log *slog.Logger) *Limiter {
	limiter := &Limiter{
		fleet: fleet, tolerance: tolerance, metrics: metrics, log: log,
		shardBuckets: newBuckets(), ownBuckets: newBuckets(), silentUntil: map[string]time.Time{}, refused: map[string]refusal{},
		now: time.Now,
	}
	limiter.rankings = newRankings(fleet)
	limiter.rankings.onChange = limiter.recordGrantedShare
	metrics.SetGranted(fullShare)
	return limiter
}

// WatchFleet refreshes the view of the fleet until the context ends, as long as hasLimits
// returns true. Without it a daemon that gets no requests would not detect a network partition.
func (l *Limiter) WatchFleet(ctx context.Context, hasLimits func() bool) {
	periodic.Run(ctx, rankingInterval, func() {
		if hasLimits() {
			l.rankings.refresh(l.now())
		}
	})
}

// recordGrantedShare records a change of the share that this daemon grants of its shards.
func (l *Limiter) recordGrantedShare(before, after ranking) {
	l.metrics.SetGranted(after.granted)
	l.log.Info("limit_granted_share_changed",
		"before", before.granted, "after", after.granted, "fleet", after.fleet, "unreached", after.notReaching)
}

// Admit decides on one request of a tenant.
func (l *Limiter) Admit(ctx context.Context, name string, limit Limit) Decision {
	started := l.now()
	if !limit.IsBounded() {
		return Decision{IsAdmitted: true, Source: SourceUnlimited, Config: limit.Config}
	}
	decision := l.decide(ctx, name, limit, started)
	decision.Took = l.now().Sub(started)
	l.metrics.Count(name, decision.IsAdmitted)
	l.metrics.CountDecision(string(decision.Source), decision.IsAdmitted)
	return decision
}

func (l *Limiter) decide(ctx context.Context, name string, limit Limit, now time.Time) Decision {
	if wait := l.localRefusal(name, limit.Config, now); wait > 0 {
		return Decision{RetryAfter: wait, Source: SourceRecent, Config: limit.Config}
	}
	order := l.awaitFleet(ctx, name, now)
	if !order.isKnown || len(order.daemons) == 0 {
		return l.decideLocally(name, limit, order, now)
	}
	bounded, cancel := context.WithTimeout(ctx, admissionTimeout)
	defer cancel()
	asking := inquiry{limiter: l, request: takeRequest(name, limit)}
	asking.askCoordinators(bounded, order, l.shardCount(limit, order))
	if !asking.isAnswered {
		local := l.decideLocally(name, limit, order, l.now())
		local.Asked, local.Silent = asking.best.Asked, asking.best.Silent
		return local
	}
	if !asking.best.IsAdmitted {
		l.recordRefusal(name, asking.best, l.now())
	}
	return asking.best
}

// awaitFleet returns the ranking of daemons for a tenant. After the start it waits up to
// fleetTimeout until the fleet is known.
func (l *Limiter) awaitFleet(ctx context.Context, name string, started time.Time) ranking {
	order := l.rankings.forTenant(name, started)
	for !order.isKnown && l.now().Sub(started) < fleetTimeout && periodic.Sleep(ctx, fleetPollInterval) {
		order = l.rankings.forTenant(name, l.now())
	}
	return order
}

func (l *Limiter) shardCount(limit Limit, order ranking) int {
	return min(l.tolerance.shardCount(limit.Limit, maxShards), len(order.daemons))
}

func takeRequest(name string, limit Limit) Request {
	return Request{Operation: OperationTake, Tenant: name, PerSecond: limit.PerSecond, Burst: limit.Burst, Config: limit.Config}
}

// inquiry is the sequence of requests to daemons for one decision.
type inquiry struct {
	limiter *Limiter
	request Request
	// best is the decision so far; isAnswered is true once a daemon answered.
	best       Decision
	isAnswered bool
}

// askCoordinators asks the coordinators of all shards, starting with a random one, until one
// grants the request. It asks one backup for each coordinator that does not answer.
func (r *inquiry) askCoordinators(ctx context.Context, order ranking, shards int) {
	first := rand.IntN(shards)
	for index := range shards {
		if r.ask(ctx, order.daemons[(first+index)%shards]) {
			return
		}
	}
	for _, backup := range order.daemons[shards:] {
		if r.best.Asked-shards >= r.best.Silent {
			return
		}
		if r.ask(ctx, backup) {
			return
		}
	}
}

// ask asks one daemon and reports whether it granted the request.
func (r *inquiry) ask(ctx context.Context, coordinator Daemon) bool {
	r.best.Asked++
	answer, err := r.limiter.ask(ctx, coordinator, r.request)
	if err != nil {
		r.best.Silent++
		return false
	}
	wait := time.Duration(answer.WaitMilliseconds) * time.Millisecond
	if r.isAnswered && !answer.IsGranted && wait >= r.best.RetryAfter {
		return false
	}
	r.isAnswered = true
	r.best.IsAdmitted, r.best.RetryAfter, r.best.Coordinator = answer.IsGranted, wait, coordinator.Name
	r.best.Level, r.best.Config, r.best.Source = answer.Level, answer.Config, SourceCoordinator
	if answer.IsBackup {
		r.best.Source = SourceBackup
	}
	return answer.IsGranted
}

// ask sends a request to a coordinator, which may be this daemon.
func (l *Limiter) ask(ctx context.Context, coordinator Daemon, request Request) (Answer, error) {
	if coordinator.Name == l.fleet.Self() {
		return l.Serve(request), nil
	}
	if l.isSilent(coordinator.Name, l.now()) {
		return Answer{}, silentError(coordinator.Name)
	}
	bounded, cancel := context.WithTimeout(ctx, coordinatorTimeout)
	defer cancel()
	answer, err := l.fleet.Ask(bounded, coordinator.Address, request)
	if err != nil && ctx.Err() == nil {
		l.recordSilent(coordinator.Name, err, l.now())
	}
	return answer, err
}

// silentError is the error for a daemon that was not asked because it recently did not answer.
type silentError string

// Error implements error.
func (e silentError) Error() string {
	return "daemon " + string(e) + " did not answer a recent request"
}

// RecordAsk records that another daemon has sent this one a request, and so can reach it.
func (l *Limiter) RecordAsk(name string) { l.rankings.recordAsk(name, l.now()) }

// Serve answers a request of another daemon or of this one.
func (l *Limiter) Serve(request Request) Answer {
	now := l.now()
	order := l.rankings.forTenant(request.Tenant, now)
	limit := Limit{Limit: tenant.Limit{PerSecond: request.PerSecond, Burst: request.Burst}, Config: request.Config}
	rank := order.rank(l.fleet.Self())
	isBackup := false
	answer := l.shardBuckets.apply(request.Operation, request.Tenant, limit, func(bound tenant.Limit, _ time.Duration) share {
		shards := l.shardCount(Limit{Limit: bound}, order)
		isBackup = rank < 0 || rank >= shards || !order.isKnown
		if isBackup {
			return l.tolerance.backupShard(bound, l.tolerance.shardCount(bound, maxShards), order.granted)
		}
		return l.tolerance.shard(bound, shards, order.granted)
	}, now)
	answer.IsBackup = isBackup
	return answer
}

// decideLocally decides by this daemon's own share of the limit.
func (l *Limiter) decideLocally(name string, limit Limit, order ranking, now time.Time) Decision {
	answer := l.applyLocally(OperationTake, name, limit, order, now)
	wait := time.Duration(answer.WaitMilliseconds) * time.Millisecond
	return Decision{
		IsAdmitted: answer.IsGranted, RetryAfter: min(wait, retryAfterOwnShare),
		Source: SourceShare, Coordinator: l.fleet.Self(), Level: answer.Level, Config: answer.Config,
	}
}

func (l *Limiter) applyLocally(operation Operation, name string, limit Limit, order ranking, now time.Time) Answer {
	fleetSize := order.fleet
	if !order.isKnown {
		fleetSize = max(fleetSize, assumedFleetSize)
	}
	return l.ownBuckets.apply(operation, name, limit, func(bound tenant.Limit, decidedFor time.Duration) share {
		return l.tolerance.ownShare(bound, fleetSize).beforeDetection(decidedFor)
	}, now)
}

// Charge counts one more run of an admitted request.
func (l *Limiter) Charge(decision Decision, name string, limit Limit) {
	l.notify(decision, name, limit, OperationCharge)
}

// Return refunds an admitted request that never ran.
func (l *Limiter) Return(decision Decision, name string, limit Limit) {
	l.notify(decision, name, limit, OperationReturn)
}

// notify sends a charge or return to the daemon that decided, without waiting for the answer.
func (l *Limiter) notify(decision Decision, name string, limit Limit, operation Operation) {
	if !decision.IsAdmitted || !limit.IsBounded() {
		return
	}
	request := takeRequest(name, limit)
	request.Operation = operation
	order := l.rankings.forTenant(name, l.now())
	if decision.Source == SourceShare {
		l.applyLocally(operation, name, limit, order, l.now())
		return
	}
	rank := order.rank(decision.Coordinator)
	if rank < 0 {
		return // no longer ranked, so its bucket is not used
	}
	go func() {
		bounded, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if _, err := l.ask(bounded, order.daemons[rank], request); err != nil {
			l.log.Info("limit_not_told", "tenant", name, "keeper", decision.Coordinator, "operation", int(operation), "error", err)
		}
	}()
}

func (l *Limiter) isSilent(name string, now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return now.Before(l.silentUntil[name])
}

func (l *Limiter) recordSilent(name string, cause error, now time.Time) {
	l.mutex.Lock()
	isNew := !now.Before(l.silentUntil[name])
	l.silentUntil[name] = now.Add(silentRetryTime)
	l.mutex.Unlock()
	if isNew {
		l.log.Info("limit_keeper_silent", "keeper", name, "rest_ms", silentRetryTime.Milliseconds(), "error", cause)
	}
}

// localRefusal returns how long a tenant is still refused without asking a coordinator.
func (l *Limiter) localRefusal(name string, config int64, now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	last, isKnown := l.refused[name]
	if !isKnown || last.config != config || !now.Before(last.until) {
		return 0
	}
	return last.until.Sub(now)
}

// recordRefusal records a refusal. If the last one is less than minRefusalGap ago, the tenant
// is refused locally until its retry time, for at most maxLocalRefusal.
func (l *Limiter) recordRefusal(name string, decision Decision, now time.Time) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	latest := refusal{at: now, config: decision.Config}
	if now.Sub(l.refused[name].at) < minRefusalGap {
		latest.until = now.Add(min(decision.RetryAfter, maxLocalRefusal))
	}
	l.refused[name] = latest
}
