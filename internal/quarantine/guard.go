package quarantine

import (
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/telemetry"
)

// Source tells where evidence came from.
type Source string

// The sources of evidence.
const (
	// SourceSelf is an end that this daemon saw.
	SourceSelf Source = "self"
	// SourcePeer is a datagram of another daemon.
	SourcePeer Source = "peer"
	// SourceStore is a row of the followed table.
	SourceStore Source = "store"
	// SourceOperator is a person.
	SourceOperator Source = "operator"
)

// Spreader carries what this daemon has learnt to the others and to the store.
// It must not block.
type Spreader interface {
	// Spread tells the others and has evidence stored.
	Spread(notice Notice)
	// Tell tells the others only.
	Tell(notice Notice)
	// Withdraw removes evidence from the store.
	Withdraw(keys []RowKey)
}

// Guard decides which requests may reach backends. All daemons decide by the
// same evidence: what one sees is told to all others at once, and kept in the
// store for those that are cut off or start later. It is safe for concurrent
// use.
type Guard struct {
	// Clock counts the time since good ends; nil is the system's. It is set before use.
	Clock boottime.Clock

	log     *slog.Logger
	metrics *telemetry.Quarantine
	spread  Spreader

	// mutex guards ledger and successes. Nothing is spread while it is held.
	mutex     sync.Mutex
	ledger    *Ledger
	successes *successes
}

// NewGuard returns a guard without evidence. The spreader may be nil: the daemon
// is then alone.
func NewGuard(policy Policy, spread Spreader, metrics *telemetry.Quarantine, log *slog.Logger) *Guard {
	return &Guard{log: log, metrics: metrics, spread: spread, ledger: NewLedger(policy), successes: newSuccesses()}
}

// Verdict reports whether a request must not reach backends.
func (g *Guard) Verdict(fingerprint Fingerprint) (Verdict, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledger.Verdict(fingerprint, time.Now())
}

// Verdicts returns all requests that are quarantined, the latest first.
func (g *Guard) Verdicts() []Verdict {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledger.Verdicts(time.Now())
}

// Run is one request that was in flight at a backend.
type Run struct {
	Fingerprint Fingerprint
	// HadOutput tells that the run had given output.
	HadOutput bool
}

// Crashed records that a backend ended while these requests were in flight
// there.
func (g *Guard) Crashed(instance string, runs []Run) {
	now := time.Now()
	held, excused := Notice{}, Notice{}
	for _, run := range runs {
		evidence := Evidence{Fingerprint: run.Fingerprint, Instance: instance, HadOutput: run.HadOutput, At: now}
		if g.add(evidence, SourceSelf) {
			excused.Evidence = append(excused.Evidence, evidence)
			continue
		}
		held.Evidence = append(held.Evidence, evidence)
	}
	g.send(held)
	// The others hear of excused ends too: they also may know of good ends, which must
	// not speak against another wave there.
	g.tell(excused)
	for _, evidence := range excused.Evidence {
		g.excuse(evidence, SourceSelf)
	}
}

// Receive takes in what another daemon tells, or what the store holds.
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

// add takes evidence in and reports whether a good end of the same request speaks
// against it.
func (g *Guard) add(evidence Evidence, source Source) bool {
	now := time.Now()
	age := now.Sub(evidence.At)
	g.mutex.Lock()
	_, wasHeld := g.ledger.Verdict(evidence.Fingerprint, now)
	isNew := g.ledger.Add(evidence, source == SourceStore)
	verdict, isHeld := g.ledger.Verdict(evidence.Fingerprint, now)
	hasSucceeded := g.successes.has(evidence.Fingerprint, g.Clock.Now())
	isExcused := g.successes.excuses(evidence, age, g.Clock.Now())
	g.mutex.Unlock()
	if !isNew {
		return isExcused
	}
	g.metrics.Evidence.WithLabelValues(string(source)).Inc()
	g.log.Info("crash_evidence", "fingerprint", evidence.Fingerprint.String(), "backend", evidence.Instance, "had_output", evidence.HadOutput,
		"age_ms", age.Milliseconds(), "source", string(source), "succeeded_lately", hasSucceeded, "excused", isExcused)
	if isHeld && !wasHeld && !isExcused {
		g.log.Warn("request_quarantined", "fingerprint", evidence.Fingerprint.String(), "backends", verdict.Instances,
			"source", string(source), "until", verdict.Until.UTC().Format(time.RFC3339))
		g.metrics.Quarantined.Inc()
	}
	return isExcused
}

// excuse takes back one piece of evidence, against which a good end speaks.
func (g *Guard) excuse(evidence Evidence, source Source) {
	g.mutex.Lock()
	isRemoved := g.ledger.Remove(evidence.Fingerprint, evidence.Instance)
	isSuspect := g.ledger.IsSuspect(evidence.Fingerprint)
	g.mutex.Unlock()
	if !isRemoved {
		return
	}
	g.log.Info("evidence_withdrawn", "fingerprint", evidence.Fingerprint.String(), "backends", []string{evidence.Instance}, "reason", "succeeded_before")
	if g.spread != nil && source != SourceSelf { // what was excused here was not stored
		g.spread.Withdraw([]RowKey{{Fingerprint: evidence.Fingerprint, Instance: evidence.Instance}})
	}
	if !isSuspect { // the message clears all evidence
		g.send(Notice{Cleared: []Fingerprint{evidence.Fingerprint}})
	}
}

// Succeeded records that a run of a request came to a good end: a request that
// ends whoever runs it never does, so all evidence against it falls.
func (g *Guard) Succeeded(fingerprint Fingerprint) {
	g.mutex.Lock()
	g.successes.note(fingerprint, g.Clock.Now())
	isSuspect := g.ledger.IsSuspect(fingerprint)
	g.mutex.Unlock()
	if isSuspect {
		g.exonerate(fingerprint, "succeeded")
	}
}

// exonerate takes back all evidence against a request, everywhere.
func (g *Guard) exonerate(fingerprint Fingerprint, reason string) {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) == 0 {
		return
	}
	g.log.Info("evidence_withdrawn", "fingerprint", fingerprint.String(), "backends", instances, "reason", reason)
	g.withdraw(fingerprint, instances)
}

func (g *Guard) withdraw(fingerprint Fingerprint, instances []string) {
	if g.spread == nil {
		return
	}
	keys := []RowKey{}
	for _, instance := range instances {
		keys = append(keys, RowKey{Fingerprint: fingerprint, Instance: instance})
	}
	g.spread.Withdraw(keys)
	g.send(Notice{Cleared: []Fingerprint{fingerprint}})
}

// clear drops evidence that another daemon has withdrawn.
func (g *Guard) clear(fingerprint Fingerprint, source Source) {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) > 0 {
		g.log.Info("evidence_withdrawn", "fingerprint", fingerprint.String(), "backends", instances, "reason", "told", "source", string(source))
	}
}

// Lift ends a quarantine by hand and reports whether there was evidence.
func (g *Guard) Lift(fingerprint Fingerprint) bool {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	g.mutex.Unlock()
	if len(instances) == 0 {
		return false
	}
	g.log.Warn("quarantine_lifted", "fingerprint", fingerprint.String(), "backends", instances, "source", string(SourceOperator))
	g.withdraw(fingerprint, instances)
	return true
}

// Expire drops evidence that is too old to count, and has it removed from the
// store if this daemon is the one to do so.
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
	if len(keys) > 0 && g.spread != nil {
		g.spread.Withdraw(keys)
	}
}

// Refused counts an attempt that was not sent.
func (g *Guard) Refused(service string) { g.metrics.Refused.WithLabelValues(service).Inc() }

func (g *Guard) send(notice Notice) {
	if g.spread != nil {
		g.spread.Spread(notice)
	}
}

func (g *Guard) tell(notice Notice) {
	if g.spread != nil {
		g.spread.Tell(notice)
	}
}
