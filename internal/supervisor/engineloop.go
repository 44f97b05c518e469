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

// engineLoop supervises one engine. The fields above mutex belong to the probing
// goroutine; mutex guards those below it.
type engineLoop struct {
	supervisor *Supervisor
	name       string
	context    context.Context
	cancel     context.CancelFunc

	failedProbes int
	lastRecordAt time.Time
	lastLoad     registry.LoadRecord
	lastLoadAt   time.Time
	// ordering is held while an order is on its way.
	ordering sync.Mutex

	mutex         sync.Mutex
	window        *admission.BatchWindow
	batchPausedTo time.Time
	stopped       bool
	running       []*runningItem
}

// runningItem is a batch item in flight on the engine.
type runningItem struct {
	task   *batch.Task
	cancel context.CancelFunc
}

func newEngineLoop(supervisor *Supervisor, name string) *engineLoop {
	return &engineLoop{supervisor: supervisor, name: name, window: admission.NewBatchWindow(0, 0)}
}

// run probes the engine and keeps its batch window filled.
func (l *engineLoop) run() {
	l.probe()
	periodic.Run(l.context, probeInterval, l.probe)
	l.stopBatch()
}

// probe reads the engine's load report and acts on it.
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

func permille(part, whole int) int {
	if whole == 0 {
		return 0
	}
	return part * 1000 / whole
}

func (l *engineLoop) probeFailed(view registry.Engine) {
	l.failedProbes++
	if l.failedProbes < failedProbesDown {
		return
	}
	record := view.Record
	record.Up = false
	record.Supervisor = l.supervisor.node.Self().Name
	l.publishRecord(view, record)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.window.SetPolicy(0, 0)
	l.window.Observe(0, 0, time.Now())
}

// observe updates the batch window and cancels items beyond it.
func (l *engineLoop) observe(view registry.Engine, report engine.LoadReport) int {
	policy, isModelService := l.supervisor.holder.BatchPolicy(view.Machine.Service)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	canServe := isModelService && report.State == engine.StateReady && !view.Machine.Leaving && len(report.Models) > 0 && !l.stopped
	if canServe {
		l.window.SetPolicy(policy.BatchWindowMax, policy.BatchGuard)
	} else {
		l.window.SetPolicy(0, 0)
	}
	size := l.window.Observe(report.OnlineRunning, report.OnlineWaiting, time.Now())
	l.trim(size)
	return size
}

// yield takes a gateway's hint; items beyond the shrunken window are cancelled
// at once.
func (l *engineLoop) yield(online int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.window.Hint(online, time.Now())
	l.trim(l.window.Size())
}

// trim cancels the newest items beyond the window. Items that may not be
// repeated run on. mutex is held.
func (l *engineLoop) trim(size int) {
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
	return l.window.Size()
}

func (l *engineLoop) stopBatch() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopped = true
	for _, item := range l.running {
		item.cancel()
	}
}

// publishRecord spreads the engine's state when it differs from what the zone
// believes, which another supervisor may have spread, and from time to time. A
// change for the worse is urgent.
func (l *engineLoop) publishRecord(view registry.Engine, record registry.EngineRecord) {
	isSame := view.Known && record.Equal(view.Record)
	if isSame && time.Since(l.lastRecordAt) < recordRefresh {
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

// publishLoad spreads the load when it changed and the interval has passed.
func (l *engineLoop) publishLoad(load registry.LoadRecord) {
	interval := LoadInterval(len(l.supervisor.registry.Engines()))
	isQuiet := load == l.lastLoad && time.Since(l.lastLoadAt) < 4*interval
	if isQuiet || time.Since(l.lastLoadAt) < interval {
		return
	}
	l.lastLoad, l.lastLoadAt = load, time.Now()
	l.publish(registry.PrefixLoad, membership.PriorityLoad, load.Encode())
}

// publish spreads an item in the zone, this daemon included.
func (l *engineLoop) publish(prefix string, priority membership.Priority, payload []byte) {
	l.supervisor.node.Publish(membership.Item{Key: prefix + l.name, Zone: l.supervisor.node.Self().Zone, Priority: priority, Payload: payload})
}

// order sends the active configuration to the engine when the rollout's wave
// includes it.
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
