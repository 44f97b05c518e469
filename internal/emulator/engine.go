package emulator

import (
	"context"
	"slices"
	"sync"
	"time"
	"topazpulley/internal/periodic"

	"topazpulley/internal/engine"
)

// EngineFaults are the injected faults of one emulated engine.
type EngineFaults struct {
	// Crashed makes the engine lose its state and close every connection.
	Crashed bool `json:"crashed"`
	// Draining makes the engine refuse new requests and finish the running ones.
	Draining bool `json:"draining"`
	// TruncateShare is the share of answers, 0 to 1, truncated before the end marker.
	TruncateShare float64 `json:"truncate_share"`
	// WrongIDShare is the share of answers, 0 to 1, with the id of another attempt.
	WrongIDShare float64 `json:"wrong_id_share"`
	// RefuseShare is the share of requests, 0 to 1, refused as full.
	RefuseShare float64 `json:"refuse_share"`
	// Slowdown multiplies step times; 0 means 1.
	Slowdown float64 `json:"slowdown"`
	// Silent stops the engine's work and answers until it is unset. Nothing is lost.
	Silent bool `json:"silent"`
	// HideLoad makes the load reports show an idle engine.
	HideLoad bool `json:"hide_load"`
}

// LedgerEntry records an attempt that an engine accepted. Checkers compare it with what
// callers received.
type LedgerEntry struct {
	Engine    string          `json:"engine"`
	AttemptID string          `json:"attempt_id"`
	Prompt    string          `json:"prompt"`
	Priority  engine.Priority `json:"priority"`
	Started   time.Time       `json:"started"`
	Generated int             `json:"generated"`
	Continued int             `json:"continued"`
	Finish    string          `json:"finish"`
	Cached    int             `json:"cached_tokens"`
	Prefilled int             `json:"prefilled_tokens"`
}

// sequence is an attempt in an engine. Engine.mutex guards it.
type sequence struct {
	request     engine.GenerateRequest
	prompt      string
	tokens      []string
	prefillLeft int
	cached      int
	finish      string
	running     bool
	finishedAt  time.Time
	changed     chan struct{}
	ledger      *LedgerEntry
}

func (s *sequence) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Engine is an emulated engine with continuous batching.
type Engine struct {
	Name    string
	Zone    string
	Service string
	Plain   bool

	mutex    sync.Mutex
	model    EngineModel
	faults   EngineFaults
	state    engine.State
	fence    int64
	loadID   int
	models   []string
	cache    *prefixCache
	attempts map[string]*sequence
	waiting  []*sequence
	running  []*sequence
	kvUsed   int
	reports  []timedReport
	ledger   []*LedgerEntry
	wake     chan struct{}
}

// timedReport is a load report with its time. Earlier reports emulate the report lag.
type timedReport struct {
	at     time.Time
	report engine.LoadReport
}

const (
	attemptRetention = 30 * time.Second
	reportInterval   = 20 * time.Millisecond
	maxReports       = 256
	idleWakeInterval = time.Second
	// silentCheckInterval is the time between two checks whether a silent engine goes on.
	silentCheckInterval = 5 * time.Millisecond
)

// NewEngine returns an engine without loaded models.
func NewEngine(name, zone, service string, plain bool, model EngineModel) *Engine {
	return &Engine{
		Name: name, Zone: zone, Service: service, Plain: plain,
		model:    model,
		state:    engine.StateReady,
		cache:    newPrefixCache(model.PrefixBlocks),
		attempts: map[string]*sequence{},
		wake:     make(chan struct{}, 1),
	}
}

// SetFaults replaces the faults. A change to Crashed resets the engine's state.
func (e *Engine) SetFaults(faults EngineFaults) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if faults.Crashed && !e.faults.Crashed {
		e.resetState()
	}
	e.faults = faults
}

// resetState ends all attempts as crashed and resets the state that a crash loses. The
// ledger remains. The caller holds mutex.
func (e *Engine) resetState() {
	for _, target := range e.attempts {
		if target.finish == "" {
			target.finish = "crashed"
			target.ledger.Finish = "crashed"
			target.signal()
		}
	}
	e.attempts = map[string]*sequence{}
	e.waiting, e.running = nil, nil
	e.kvUsed, e.fence, e.models = 0, 0, nil
	e.loadID++
	e.state = engine.StateReady
	e.cache = newPrefixCache(e.model.PrefixBlocks)
}

// Ledger returns a copy of the engine's ledger.
func (e *Engine) Ledger() []LedgerEntry {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	entries := make([]LedgerEntry, 0, len(e.ledger))
	for _, entry := range e.ledger {
		entries = append(entries, *entry)
	}
	return entries
}

// submit queues a request or returns a refusal code.
func (e *Engine) submit(request engine.GenerateRequest) (*sequence, string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if code := e.refusal(request); code != "" {
		return nil, code
	}
	prompt := engine.PromptText(request.Input)
	entry := &LedgerEntry{
		Engine: e.Name, AttemptID: request.AttemptID, Prompt: prompt, Priority: request.Priority,
		Started: time.Now(), Continued: len(request.Continue),
	}
	e.ledger = append(e.ledger, entry)
	admitted := &sequence{
		request: request, prompt: prompt, tokens: slices.Clone(request.Continue),
		changed: make(chan struct{}), ledger: entry,
	}
	e.attempts[request.AttemptID] = admitted
	e.enqueue(admitted)
	e.wakeUp()
	return admitted, ""
}

func (e *Engine) refusal(request engine.GenerateRequest) string {
	if _, exists := e.attempts[request.AttemptID]; exists {
		return engine.RefusalAttemptExists
	}
	if e.faults.Draining {
		return engine.RefusalDraining
	}
	if e.state == engine.StateLoading {
		return engine.RefusalLoading
	}
	if !e.hasModel(request.Model) {
		return engine.RefusalNoModel
	}
	if len(e.waiting) >= e.model.MaxWaiting {
		return engine.RefusalFull
	}
	if request.MaxTokens <= len(request.Continue) {
		return engine.RefusalBadRequest
	}
	return ""
}

func (e *Engine) hasModel(name string) bool {
	for _, loaded := range e.models {
		if len(loaded) > len(name) && loaded[:len(name)] == name && loaded[len(name)] == '@' {
			return true
		}
	}
	return false
}

// enqueue inserts a sequence into the queue: online before batch, then by arrival.
func (e *Engine) enqueue(admitted *sequence) {
	if admitted.request.Priority != engine.PriorityOnline {
		e.waiting = append(e.waiting, admitted)
		return
	}
	position := 0
	for position < len(e.waiting) && e.waiting[position].request.Priority == engine.PriorityOnline {
		position++
	}
	e.waiting = slices.Insert(e.waiting, position, admitted)
}

func (e *Engine) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// attempt returns an attempt by id.
func (e *Engine) attempt(id string) (*sequence, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target, known := e.attempts[id]
	return target, known
}

// cancel cancels an attempt if it has not finished, and reports whether the id is known.
func (e *Engine) cancel(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	target, known := e.attempts[id]
	if !known || target.finish != "" {
		return known
	}
	e.finishSequence(target, engine.FinishCancelled)
	e.waiting = slices.DeleteFunc(e.waiting, func(other *sequence) bool { return other == target })
	e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == target })
	return true
}

func (e *Engine) finishSequence(target *sequence, reason string) {
	target.finish = reason
	target.finishedAt = time.Now()
	target.ledger.Finish = reason
	if target.running {
		e.kvUsed -= sequenceKV(target)
		target.running = false
	}
	target.signal()
}

func sequenceKV(target *sequence) int {
	return engine.EstimateTokens(target.request.Input) + target.request.MaxTokens
}

// Run executes steps until the context ends.
func (e *Engine) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.awaitSound(ctx)
		pause, busy := e.step()
		if !busy {
			select {
			case <-ctx.Done():
			case <-e.wake:
			case <-time.After(idleWakeInterval):
			}
			continue
		}
		periodic.Sleep(ctx, pause)
		e.awaitSound(ctx)
		e.produce()
	}
}

// awaitSound waits while the engine is silent.
func (e *Engine) awaitSound(ctx context.Context) {
	for e.currentFaults().Silent && periodic.Sleep(ctx, silentCheckInterval) {
		continue
	}
}

// step starts waiting sequences and returns the duration of the next step, or false if no
// sequence runs.
func (e *Engine) step() (time.Duration, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.admitWaiting()
	e.removeOldAttempts(time.Now())
	if len(e.running) == 0 {
		return 0, false
	}
	seconds := e.model.StepBaseSeconds + e.model.StepSequenceSeconds*float64(len(e.running))
	seconds += float64(e.prefillStep()) / e.model.PrefillTokensPerSecond
	slowdown := max(e.faults.Slowdown, 1)
	return time.Duration(seconds * slowdown * e.model.TimeScale * float64(time.Second)), true
}

func (e *Engine) admitWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.model.MaxRunning {
		next := e.waiting[0]
		if len(e.running) > 0 && e.kvUsed+sequenceKV(next) > e.model.KVCapacity {
			return
		}
		e.waiting = e.waiting[1:]
		e.startSequence(next)
	}
}

func (e *Engine) startSequence(next *sequence) {
	cachedBytes := e.cache.touch(next.prompt)
	total := len(next.prompt)/4 + 1 + len(next.request.Continue)
	next.cached = cachedBytes / 4
	next.prefillLeft = max(total-next.cached, 1)
	next.ledger.Cached = next.cached
	next.ledger.Prefilled = next.prefillLeft
	next.running = true
	e.kvUsed += sequenceKV(next)
	e.running = append(e.running, next)
}

// prefillStep processes up to PrefillChunk prompt tokens, online sequences first, and
// returns the number of prompt tokens processed.
func (e *Engine) prefillStep() int {
	budget := e.model.PrefillChunk
	for _, priority := range []engine.Priority{engine.PriorityOnline, engine.PriorityBatch} {
		for _, active := range e.running {
			if active.request.Priority != priority || active.prefillLeft == 0 || budget == 0 {
				continue
			}
			spent := min(active.prefillLeft, budget)
			active.prefillLeft -= spent
			budget -= spent
		}
	}
	return e.model.PrefillChunk - budget
}

// produce generates one token for every sequence whose prefill is complete.
func (e *Engine) produce() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	kept := e.running[:0]
	for _, active := range e.running {
		if active.prefillLeft == 0 {
			e.produceToken(active)
		}
		if active.finish == "" {
			kept = append(kept, active)
		}
	}
	clear(e.running[len(kept):])
	e.running = kept
}

func (e *Engine) produceToken(active *sequence) {
	active.tokens = append(active.tokens, OutputToken(active.prompt, len(active.tokens)))
	active.ledger.Generated++
	if len(active.tokens) >= active.request.MaxTokens {
		e.finishSequence(active, engine.FinishLength)
		return
	}
	active.signal()
}

func (e *Engine) removeOldAttempts(now time.Time) {
	if len(e.attempts) < 512 {
		return
	}
	for id, target := range e.attempts {
		if target.finish != "" && now.Sub(target.finishedAt) > attemptRetention {
			delete(e.attempts, id)
		}
	}
}

// order applies an order unless its fence is stale. While the engine loads models it
// refuses new requests.
func (e *Engine) order(ctx context.Context, order engine.Order) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if order.Fence < e.fence {
		return engine.RefusalStaleFence
	}
	if order.Fence == e.fence && e.fence != 0 {
		return ""
	}
	e.fence = order.Fence
	if slices.Equal(order.Models, e.models) && e.state == engine.StateReady {
		return ""
	}
	e.state = engine.StateLoading
	e.loadID++
	go e.finishLoading(ctx, e.loadID, order.Models)
	return ""
}

func (e *Engine) finishLoading(ctx context.Context, loadID int, models []string) {
	periodic.Sleep(ctx, time.Duration(e.model.LoadSeconds*e.model.TimeScale*float64(time.Second)))
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.loadID != loadID {
		return
	}
	e.models = models
	e.state = engine.StateReady
}

// report returns the current state and the load of ReportLagSeconds ago.
func (e *Engine) report(now time.Time) engine.LoadReport {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	current := e.currentReport()
	lagged := current
	latest := now.Add(-time.Duration(e.model.ReportLagSeconds * e.model.TimeScale * float64(time.Second)))
	for _, sample := range e.reports {
		if sample.at.After(latest) {
			break
		}
		lagged = sample.report
	}
	lagged.State, lagged.Fence, lagged.Models = current.State, current.Fence, current.Models
	if e.faults.HideLoad {
		lagged.OnlineRunning, lagged.OnlineWaiting, lagged.BatchRunning, lagged.BatchWaiting, lagged.KVUsed = 0, 0, 0, 0, 0
	}
	return lagged
}

func (e *Engine) currentReport() engine.LoadReport {
	report := engine.LoadReport{
		State: e.state, KVUsed: e.kvUsed, KVCapacity: e.model.KVCapacity, Fence: e.fence, Models: slices.Clone(e.models),
	}
	if e.faults.Draining {
		report.State = engine.StateDraining
	}
	report.OnlineRunning, report.BatchRunning = countByPriority(e.running)
	report.OnlineWaiting, report.BatchWaiting = countByPriority(e.waiting)
	return report
}

func countByPriority(sequences []*sequence) (online, batch int) {
	for _, one := range sequences {
		if one.request.Priority == engine.PriorityOnline {
			online++
		} else {
			batch++
		}
	}
	return online, batch
}

// sampleReports records the load every reportInterval until the context ends.
func (e *Engine) sampleReports(ctx context.Context) {
	for periodic.Sleep(ctx, reportInterval) {
		e.mutex.Lock()
		e.reports = append(e.reports, timedReport{at: time.Now(), report: e.currentReport()})
		if len(e.reports) > maxReports {
			e.reports = slices.Delete(e.reports, 0, len(e.reports)-maxReports)
		}
		e.mutex.Unlock()
	}
}
