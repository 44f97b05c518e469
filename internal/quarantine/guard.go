package quarantine

import (
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/telemetry"
)

// Source is the origin of evidence.
type Source string

// The sources of evidence.
const (
	// SourceSelf is a crash that this daemon observed.
	SourceSelf Source = "self"
	// SourcePeer is a notice from another daemon.
	SourcePeer Source = "peer"
	// SourceStore is a row of the evidence table.
	SourceStore Source = "store"
	// SourceOperator is an operator's call.
	SourceOperator Source = "operator"
)

// Publisher sends this daemon's evidence to other daemons and to the store. Its methods
// must not block.
type Publisher interface {
	// Publish sends a notice to the other daemons and stores its evidence.
	Publish(notice Notice)
	// Notify sends a notice to the other daemons without storing it.
	Notify(notice Notice)
	// Withdraw removes evidence from the store.
	Withdraw(keys []RowKey)
}

// Guard decides which requests may be sent to backends. Evidence is published to all
// daemons at once, and stored for those that are unreachable or start later, so that all
// reach the same verdicts. It is safe for concurrent use.
type Guard struct {
	// Clock measures the time since successes; nil is the system's clock. Set before use.
	Clock boottime.Clock

	log       *slog.Logger
	metrics   *telemetry.Quarantine
	publisher Publisher

	// mutex guards ledger and successes. It is not locked while the publisher is called.
	mutex     sync.Mutex
	ledger    *Ledger
	successes *successes
}

// NewGuard returns a guard without evidence. A nil publisher means that evidence stays in
// this daemon.
func NewGuard(policy Policy, publisher Publisher, metrics *telemetry.Quarantine, log *slog.Logger) *Guard {
	return &Guard{log: log, metrics: metrics, publisher: publisher, ledger: NewLedger(policy), successes: newSuccesses()}
}

// Verdict reports whether a request is quarantined, and why.
func (g *Guard) Verdict(fingerprint Fingerprint) (Verdict, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledger.Verdict(fingerprint, time.Now())
}

// Verdicts returns the verdicts of all quarantined requests, the latest first.
func (g *Guard) Verdicts() []Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledger.Verdicts(time.Now())
}

// Run is one request that was in flight at a backend.
type Run struct {
	Fingerprint Fingerprint
	// HadOutput is true if the request had produced output.
	HadOutput bool
}

// Crashed records that a backend crashed while these requests were in flight there.
func (g *Guard) Crashed(instance string, runs []Run) {
	now := time.Now()
	g.countCrash(runs)
	counted, excused := Notice{}, Notice{}
	for _, run := range runs {
		evidence := Evidence{Fingerprint: run.Fingerprint, Instance: instance, HadOutput: run.HadOutput, At: now}
		if g.add(evidence, SourceSelf) {
			excused.Evidence = append(excused.Evidence, evidence)
			continue
		}
		counted.Evidence = append(counted.Evidence, evidence)
	}
	g.publish(counted)
	// Other daemons need excused crashes too: the successes that they have recorded must
	// not excuse another crash group.
	g.notify(excused)
	for _, evidence := range excused.Evidence {
		g.excuse(evidence, SourceSelf)
	}
}

// countCrash counts a crash by the number of runs without output. A crash that a request caused
// has one at least, most crashes for other reasons have none.
func (g *Guard) countCrash(runs []Run) {
	withoutOutput := 0
	for _, run := range runs {
		if !run.HadOutput {
			withoutOutput++
		}
	}
	g.metrics.Crashes.WithLabelValues([...]string{"0", "1", "more"}[min(withoutOutput, 2)]).Inc()
}

// Receive applies a notice from another daemon or from the store.
func (g *Guard) Receive(notice Notice, source Source) {
	for _, fingerprint := range notice.Cleared {
		g.clear(fingerprint, source)
	}
	excused := []Evidence{}
	for _, evidence := range notice.Evidence {
		if g.add(evidence, source) {
			excused = append(excused, evidence)
		}
	}
	for _, evidence := range excused {
		g.excuse(evidence, source)
	}
}

// add records evidence and reports whether a recent success of the request excuses it.
func (g *Guard) add(evidence Evidence, source Source) bool {
	now := time.Now()
	age := now.Sub(evidence.At)
	g.mutex.Lock()
	_, wasQuarantined := g.ledger.Verdict(evidence.Fingerprint, now)
	isNew := g.ledger.Add(evidence, source == SourceStore)
	verdict, isQuarantined := g.ledger.Verdict(evidence.Fingerprint, now)
	hasSucceeded := g.successes.has(evidence.Fingerprint, g.Clock.Now())
	isExcused := g.successes.excuses(evidence, age, g.Clock.Now())
	g.mutex.Unlock()
	if !isNew {
		return isExcused
	}
	g.metrics.Evidence.WithLabelValues(string(source)).Inc()
	g.log.Info("crash_evidence", "fingerprint", evidence.Fingerprint.String(), "backend", evidence.Instance, "had_output", evidence.HadOutput,
		"age_ms", age.Milliseconds(), "source", string(source), "succeeded_lately", hasSucceeded, "excused", isExcused)
	if isQuarantined && !wasQuarantined && !isExcused {
		g.log.Warn("request_quarantined", "fingerprint", evidence.Fingerprint.String(), "backends", verdict.Instances,
			"source", string(source), "until", verdict.Until.UTC().Format(time.RFC3339))
		g.metrics.Quarantined.Inc()
	}
	return isExcused
}

// excuse withdraws one piece of evidence that a recent success excuses.
func (g *Guard) excuse(evidence Evidence, source Source) {
	g.mutex.Lock()
	isRemoved := g.ledger.Remove(evidence.Fingerprint, evidence.Instance)
	isSuspect := g.ledger.IsSuspect(evidence.Fingerprint)
	g.mutex.Unlock()
	if !isRemoved {
		return
	}
	g.log.Info("evidence_withdrawn", "fingerprint", evidence.Fingerprint.String(), "backends", []string{evidence.Instance}, "reason", "succeeded_before")
	if g.publisher != nil && source != SourceSelf { // own excused evidence is not stored
		g.publisher.Withdraw([]RowKey{{Fingerprint: evidence.Fingerprint, Instance: evidence.Instance}})
	}
	if !isSuspect { // the notice clears all evidence of the request
		g.publish(Notice{Cleared: []Fingerprint{evidence.Fingerprint}})
	}
}

// Succeeded records a success of a request and withdraws all evidence against it.
func (g *Guard) Succeeded(fingerprint Fingerprint) {
	g.mutex.Lock()
	g.successes.record(fingerprint, g.Clock.Now())
	isSuspect := g.ledger.IsSuspect(fingerprint)
	g.mutex.Unlock()
	if isSuspect {
		g.withdrawAll(fingerprint, "succeeded")
	}
}

// withdrawAll withdraws all evidence against a request, here and at other daemons.
func (g *Guard) withdrawAll(fingerprint Fingerprint, reason string) {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) == 0 {
		return
	}
	g.log.Info("evidence_withdrawn", "fingerprint", fingerprint.String(), "backends", instances, "reason", reason)
	g.publishWithdrawal(fingerprint, instances)
}

// publishWithdrawal removes evidence from the store and from other daemons.
func (g *Guard) publishWithdrawal(fingerprint Fingerprint, instances []string) {
	if g.publisher == nil {
		return
	}
	keys := []RowKey{}
	for _, instance := range instances {
		keys = append(keys, RowKey{Fingerprint: fingerprint, Instance: instance})
	}
	g.publisher.Withdraw(keys)
	g.publish(Notice{Cleared: []Fingerprint{fingerprint}})
}

// clear removes the evidence that another daemon has withdrawn.
func (g *Guard) clear(fingerprint Fingerprint, source Source) {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) > 0 {
		g.log.Info("evidence_withdrawn", "fingerprint", fingerprint.String(), "backends", instances, "reason", "told", "source", string(source))
	}
}

// Lift withdraws all evidence against a request on an operator's call and reports whether
// there was any.
func (g *Guard) Lift(fingerprint Fingerprint) bool {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) == 0 {
		return false
	}
	g.log.Warn("quarantine_lifted", "fingerprint", fingerprint.String(), "backends", instances, "source", string(SourceOperator))
	g.publishWithdrawal(fingerprint, instances)
	return true
}

// Expire removes expired evidence, and removes its rows from the store where isRemover
// reports that this daemon is responsible for the fingerprint.
func (g *Guard) Expire(isRemover func(Fingerprint) bool) {
	g.mutex.Lock()
	expired := g.ledger.Expire(time.Now())
	g.mutex.Unlock()
	keys := []RowKey{}
	for _, each := range expired {
		g.log.Info("evidence_expired", "fingerprint", each.Fingerprint.String(), "backend", each.Instance)
		if isRemover(each.Fingerprint) {
			keys = append(keys, RowKey{Fingerprint: each.Fingerprint, Instance: each.Instance})
		}
	}
	if len(keys) > 0 && g.publisher != nil {
		g.publisher.Withdraw(keys)
	}
}

// Refused counts an attempt that was not sent because its request is quarantined.
func (g *Guard) Refused(service string) { g.metrics.Refused.WithLabelValues(service).Inc() }

func (g *Guard) publish(notice Notice) {
	if g.publisher != nil {
		g.publisher.Publish(notice)
	}
}

func (g *Guard) notify(notice Notice) {
	if g.publisher != nil {
		g.publisher.Notify(notice)
	}
}
