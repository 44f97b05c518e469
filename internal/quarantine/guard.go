package quarantine

import (
	"log/slog"
	"math/rand/v2"
	"slices"
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
	// Stagger returns a random time to wait before evidence is withdrawn that most daemons
	// would withdraw at the same moment.
	Stagger() time.Duration
}

// Guard decides which requests may be sent to backends. It judges a request by its content and by
// the parts of its prompt. Evidence is published to all
// daemons at once, and stored for those that are unreachable or start later, so that all
// reach the same verdicts. It is safe for concurrent use.
type Guard struct {
	// Clock measures the time since successes; nil is the system's clock. Set before use.
	Clock boottime.Clock

	log       *slog.Logger
	metrics   *telemetry.Quarantine
	publisher Publisher

	// mutex guards the fields after it. It is not locked while the publisher is called.
	mutex     sync.Mutex
	ledger    *Ledger
	successes *successes
	// partSuccesses are those of prompt parts, which are more than the requests.
	partSuccesses *successes
	// vetoes are the withdrawals that wait to be sent, by fingerprint.
	vetoes map[Fingerprint]*veto
}

// veto is a withdrawal of evidence that recent successes excuse. It is not sent if another daemon
// withdraws the evidence first.
type veto struct{ instances []string }

// NewGuard returns a guard without evidence. A nil publisher means that evidence stays in
// this daemon.
func NewGuard(policy Policy, publisher Publisher, metrics *telemetry.Quarantine, log *slog.Logger) *Guard {
	return &Guard{log: log, metrics: metrics, publisher: publisher, ledger: NewLedger(policy), successes: newSuccesses(), partSuccesses: newSuccesses(), vetoes: map[Fingerprint]*veto{}}
}

// Verdict reports whether a request is quarantined, by its content or by a part of its prompt,
// and why.
func (g *Guard) Verdict(fingerprint Fingerprint, parts Parts) (Verdict, bool) {
	now := time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if verdict, isQuarantined := g.ledger.Verdict(fingerprint, now); isQuarantined {
		return verdict, true
	}
	return g.ledger.PartsVerdict(parts, now)
}

// PartsVerdict reports whether a part of a prompt is quarantined, and which.
func (g *Guard) PartsVerdict(parts Parts) (Verdict, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.ledger.PartsVerdict(parts, time.Now())
}

// Verdicts returns the verdicts of all quarantined requests and prompt parts, the latest first.
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
	// Parts are the parts of its prompt, without those that its output shows to be sound.
	Parts Parts
	// IsItem is set for an item of a job or batch. Items don't crash backends by themselves,
	// so that a crash is no evidence against them.
	IsItem bool
}

// Crashed records that a backend crashed while these requests were in flight there.
func (g *Guard) Crashed(instance string, runs []Run) {
	now := time.Now()
	runs = slices.DeleteFunc(slices.Clone(runs), func(run Run) bool { return run.IsItem })
	g.countCrash(runs)
	counted, excused := Notice{}, Notice{}
	for _, evidence := range evidenceOfCrash(instance, runs, now) {
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

// maxCrashParts is the maximum number of prompt parts against which the evidence of one crash is
// kept: each costs a row, and a part of a datagram to every daemon.
const maxCrashParts = 256

// evidenceOfCrash returns the evidence of a crash against each request that was in flight, and
// against the parts of their prompts. Of too many parts, others are drawn at each crash.
func evidenceOfCrash(instance string, runs []Run, now time.Time) []Evidence {
	found := []Evidence{}
	seen, parts := map[Fingerprint]bool{}, Parts{}
	for _, run := range runs {
		found = append(found, Evidence{Fingerprint: run.Fingerprint, Instance: instance, HadOutput: run.HadOutput, At: now})
		for _, part := range run.Parts {
			if !seen[part] {
				seen[part] = true
				parts = append(parts, part)
			}
		}
	}
	if len(parts) > maxCrashParts {
		rand.Shuffle(len(parts), func(a, b int) { parts[a], parts[b] = parts[b], parts[a] })
		parts = parts[:maxCrashParts]
	}
	for _, part := range parts {
		found = append(found, Evidence{Fingerprint: part, Instance: instance, At: now})
	}
	return found
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
	succeeded := g.successesOf(evidence.Fingerprint)
	hasSucceeded := succeeded.has(evidence.Fingerprint, g.Clock.Now())
	isExcused := succeeded.excuses(evidence, age, g.Clock.Now())
	g.mutex.Unlock()
	if !isNew {
		return isExcused
	}
	g.metrics.Evidence.WithLabelValues(string(source)).Inc()
	g.log.Info("crash_evidence", "kind", string(evidence.Fingerprint.Kind()), "fingerprint", evidence.Fingerprint.String(), "backend", evidence.Instance, "had_output", evidence.HadOutput,
		"age_ms", age.Milliseconds(), "source", string(source), "succeeded_lately", hasSucceeded, "excused", isExcused)
	if isQuarantined && !wasQuarantined && !isExcused {
		g.log.Warn("request_quarantined", "kind", string(evidence.Fingerprint.Kind()), "fingerprint", evidence.Fingerprint.String(), "backends", verdict.Instances,
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
	if source != SourceSelf {
		g.veto(evidence)
		return
	}
	if !isSuspect { // the notice clears all evidence of the request
		g.publish(Notice{Cleared: []Fingerprint{evidence.Fingerprint}})
	}
}

// veto withdraws evidence of another daemon that recent successes here excuse. All daemons with
// such successes would do so at once: each waits for a random time, and sends nothing if another
// one was faster.
func (g *Guard) veto(evidence Evidence) {
	if g.publisher == nil {
		return
	}
	g.mutex.Lock()
	waiting, isWaiting := g.vetoes[evidence.Fingerprint]
	if !isWaiting {
		waiting = &veto{}
		g.vetoes[evidence.Fingerprint] = waiting
	}
	waiting.instances = append(waiting.instances, evidence.Instance)
	g.mutex.Unlock()
	if isWaiting {
		return
	}
	pause := g.publisher.Stagger()
	if pause <= 0 {
		g.sendVeto(evidence.Fingerprint)
		return
	}
	time.AfterFunc(pause, func() { g.sendVeto(evidence.Fingerprint) })
}

// sendVeto sends a withdrawal that waits, if there still is one.
func (g *Guard) sendVeto(fingerprint Fingerprint) {
	g.mutex.Lock()
	waiting, isWaiting := g.vetoes[fingerprint]
	delete(g.vetoes, fingerprint)
	isSuspect := g.ledger.IsSuspect(fingerprint)
	g.mutex.Unlock()
	if !isWaiting {
		return
	}
	g.publisher.Withdraw(rowKeys(fingerprint, waiting.instances))
	if !isSuspect { // the notice clears all evidence of the request
		g.publish(Notice{Cleared: []Fingerprint{fingerprint}})
	}
}

// successesOf returns the successes of the fingerprint's kind. mutex must be held.
func (g *Guard) successesOf(fingerprint Fingerprint) *successes {
	if fingerprint.IsPart() {
		return g.partSuccesses
	}
	return g.successes
}

// Succeeded records a success of a request and withdraws all evidence against it.
func (g *Guard) Succeeded(fingerprint Fingerprint) { g.recordSuccess(fingerprint) }

// PartsSucceeded records that a backend gave output for a prompt with these parts, and withdraws
// all evidence against them.
func (g *Guard) PartsSucceeded(parts Parts) {
	for _, part := range parts {
		g.recordSuccess(part)
	}
}

func (g *Guard) recordSuccess(fingerprint Fingerprint) {
	g.mutex.Lock()
	g.successesOf(fingerprint).record(fingerprint, g.Clock.Now())
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
	g.publisher.Withdraw(rowKeys(fingerprint, instances))
	g.publish(Notice{Cleared: []Fingerprint{fingerprint}})
}

// rowKeys returns the keys of the evidence of crashes under a request or part.
func rowKeys(fingerprint Fingerprint, instances []string) []RowKey {
	keys := make([]RowKey, 0, len(instances))
	for _, instance := range instances {
		keys = append(keys, RowKey{Fingerprint: fingerprint, Instance: instance})
	}
	return keys
}

// clear removes the evidence that another daemon has withdrawn.
func (g *Guard) clear(fingerprint Fingerprint, source Source) {
	g.mutex.Lock()
	instances := g.ledger.Clear(fingerprint)
	delete(g.vetoes, fingerprint)
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
