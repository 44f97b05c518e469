package supervisor

import (
	"context"
	"sync"
	"time"

	"topazpulley/internal/admission"
	"topazpulley/internal/batch"
	"topazpulley/internal/engine"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/registry"
)

// engineLoop supervises one engine. mutex guards the fields below it. The probe fields
// between cancel and ordering are used only by the goroutine that runs run.
type engineLoop struct {
	supervisor *Supervisor
	name       string
	context    context.Context
	cancel     context.CancelFunc

	failedProbes int
	lastRecordAt time.Time
	lastLoad     registry.LoadRecord
	lastLoadAt   time.Time
	// ordering is locked while an order is being sent.
	ordering sync.Mutex

	mutex sync.Mutex
	// window limits the batch items that run on the engine at a time.
	window           *admission.BatchWindow
	batchPausedUntil time.Time
	isStopped        bool
	// isDown stops batch dispatch because the engine answers no probes. Items that run there
	// are left alone: the engine may be silent for a moment and go on with them.
	isDown bool
	// running holds the items in the order in which they were started.
	running []*runningItem
}

// runningItem is a batch item that runs on the engine.
type runningItem struct {
	task   *batch.Task
	cancel context.CancelFunc
}

func newEngineLoop(supervisor *Supervisor, name string) *engineLoop {
	return &engineLoop{supervisor: supervisor, name: name, window: admission.NewBatchWindow(0, 0)}
}

// run probes the engine and dispatches batch items until the context ends.
func (l *engineLoop) run() {
	l.probe()
	periodic.Run(l.context, probeInterval, l.probe)
	l.stopBatch()
}

// probe reads the engine's load report, publishes its record and load, adjusts the
// batch window, sends a configuration order if one is due and dispatches batch items.
func (l *engineLoop) probe() {
	view, known := l.supervisor.registry.Engine(l.name)
	if !known || view.Machine.Address == "" {
		return
	}
	report, err := l.supervisor.engines.Load(view.Machine.Address, probeTimeout)
	if err != nil {
		l.probeFailed(view)
		return
	}
	l.failedProbes = 0
	l.publishRecord(view, registry.EngineRecord{
		Up: true, State: string(report.State), Fence: report.Fence, Models: report.Models, Supervisor: l.supervisor.node.Self().Name,
	})
	size := l.observe(view, report)
	l.publishLoad(registry.LoadRecord{
		Online: report.OnlineRunning, Waiting: report.OnlineWaiting, Batch: report.BatchRunning + report.BatchWaiting,
		KVPermille: permille(report.KVUsed, report.KVCapacity), BatchWindow: size,
	})
	l.order(view, report)
	l.dispatch(view)
}

// permille returns part in thousandths of total.
func permille(part, total int) int {
	if total == 0 {
		return 0
	}
	return part * 1000 / total
}

// probeFailed counts a failed probe. After downAfterFailedProbes in a row it publishes
// the engine as down and stops batch dispatch.
func (l *engineLoop) probeFailed(view registry.Engine) {
	l.failedProbes++
	if l.failedProbes < downAfterFailedProbes {
		return
	}
	record := view.Record
	record.Up = false
	record.Supervisor = l.supervisor.node.Self().Name
	l.publishRecord(view, record)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isDown = true
}

// reopen ends the stop of batch dispatch. The window begins with the items that still run, so
// that none is cancelled because the engine was silent. The caller holds mutex.
func (l *engineLoop) reopen() {
	if l.isDown {
		l.isDown = false
		l.window.Restart(len(l.running), time.Now())
	}
}

// observe updates the batch window from a load report, cancels items in excess of it
// and returns its size.
func (l *engineLoop) observe(view registry.Engine, report engine.LoadReport) int {
	policy, isModelService := l.supervisor.holder.BatchPolicy(view.Machine.Service)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.reopen()
	canServe := isModelService && report.State == engine.StateReady && !view.Machine.Leaving && len(report.Models) > 0 && !l.isStopped
	if canServe {
		l.window.SetPolicy(policy.BatchWindowMax, policy.BatchGuard)
	} else {
		l.window.SetPolicy(0, 0)
	}
	size := l.window.Observe(report.OnlineRunning, report.OnlineWaiting, time.Now())
	l.cancelExcess(size)
	return size
}

// applyHint shrinks the batch window for a number of online requests and cancels items
// in excess of it.
func (l *engineLoop) applyHint(online int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.window.Hint(online, time.Now())
	l.cancelExcess(l.window.Size())
}

// cancelExcess cancels the newest items in excess of size. Items that may not be
// repeated are not cancelled. The caller holds mutex.
func (l *engineLoop) cancelExcess(size int) {
	excess := len(l.running) - size
	for index := len(l.running) - 1; index >= 0 && excess > 0; index-- {
		if l.running[index].task.Item.MayRepeat() {
			l.running[index].cancel()
			excess--
		}
	}
}

func (l *engineLoop) windowSize() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isDown {
		return 0
	}
	return l.window.Size()
}

func (l *engineLoop) stopBatch() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.isStopped = true
	for _, item := range l.running {
		item.cancel()
	}
}

// publishRecord publishes the engine's record if it differs from the zone's, which may
// come from another supervisor, and every recordRefreshInterval. A record of an engine
// that is down or not ready is urgent.
func (l *engineLoop) publishRecord(view registry.Engine, record registry.EngineRecord) {
	isSame := view.Known && record.Equal(view.Record)
	if isSame && time.Since(l.lastRecordAt) < recordRefreshInterval {
		return
	}
	priority := membership.PriorityState
	if !record.Up || record.State != string(engine.StateReady) {
		priority = membership.PriorityUrgent
	}
	l.lastRecordAt = time.Now()
	l.publish(registry.PrefixEngine, priority, record.Encode())
	if !isSame {
		l.supervisor.log.Info("engine_changed", "engine", l.name, "up", record.Up, "state", record.State, "fence", record.Fence)
	}
}

// publishLoad publishes the load at most once per load interval, and an unchanged load
// every four intervals.
func (l *engineLoop) publishLoad(load registry.LoadRecord) {
	interval := LoadInterval(len(l.supervisor.registry.Engines()))
	isFresh := load == l.lastLoad && time.Since(l.lastLoadAt) < 4*interval
	if isFresh || time.Since(l.lastLoadAt) < interval {
		return
	}
	l.lastLoad, l.lastLoadAt = load, time.Now()
	l.publish(registry.PrefixLoad, membership.PriorityLoad, load.Encode())
}

// publish publishes an item to all members of the zone, this daemon included.
func (l *engineLoop) publish(prefix string, priority membership.Priority, payload []byte) {
	l.supervisor.node.Publish(membership.Item{Key: prefix + l.name, Zone: l.supervisor.node.Self().Zone, Priority: priority, Payload: payload})
}

// order sends the active configuration to the engine if the engine has an older
// revision and the rollout's wave includes it.
func (l *engineLoop) order(view registry.Engine, report engine.LoadReport) {
	current, active := l.supervisor.holder.Current()
	if active == nil || report.Fence >= current.Number || !l.supervisor.waves.includes(view.Machine.Service, current.Number, l.name) {
		return
	}
	if !l.ordering.TryLock() {
		return
	}
	go func() {
		defer l.ordering.Unlock()
		l.sendOrder(view, engine.Order{
			Fence: current.Number, Models: modelsFor(active, view.Machine.Service), Role: string(active.Services[view.Machine.Service].Role),
		})
	}()
}

func (l *engineLoop) sendOrder(view registry.Engine, order engine.Order) {
	err := l.supervisor.engines.Order(view.Machine.Address, order)
	if err != nil {
		l.supervisor.log.Warn("engine_order_failed", "engine", l.name, "revision", order.Fence, "error", err)
		return
	}
	l.supervisor.log.Info("engine_ordered", "engine", l.name, "revision", order.Fence, "models", order.Models)
}
