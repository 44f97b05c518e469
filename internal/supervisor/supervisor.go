// Package supervisor runs the duties that one daemon of a zone has for each of
// the zone's engines: probing, spreading health and load, ordering
// configurations and dispatching batch items within the engine's window.
package supervisor

import (
	"context"
	"encoding/binary"
	"log/slog"
	"strings"
	"sync"
	"time"

	"topazpulley/internal/batch"
	"topazpulley/internal/bundle"
	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/engine"
	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
	"topazpulley/internal/revision"
)

const (
	reconcileInterval = 200 * time.Millisecond
	probeInterval     = 250 * time.Millisecond
	probeTimeout      = 600 * time.Millisecond
	failedProbesDown  = 2
	recordRefresh     = 2 * time.Minute
	loadIntervalFloor = 500 * time.Millisecond
	// loadIntervalPerEngine stretches the load interval with the number of
	// engines in the zone, which keeps gossip within its byte budget.
	loadIntervalPerEngine = 50 * time.Millisecond
	batchPause            = 200 * time.Millisecond
	// maxItemFailures is how often an item may break off before it ends as
	// failed: it is the item, then, and not the engines.
	maxItemFailures = 20
)

// EngineDuty is the rendezvous key of an engine.
func EngineDuty(name string) string { return "engine/" + name }

// LoadInterval is the least time between two load records of one engine in a
// zone with a number of engines.
func LoadInterval(zoneEngines int) time.Duration {
	return max(loadIntervalFloor, time.Duration(zoneEngines)*loadIntervalPerEngine)
}

// Supervisor supervises the engines whose duty falls to this daemon. mutex
// guards loops.
type Supervisor struct {
	node     *cluster.Node
	registry *registry.Registry
	holder   *revision.Holder
	engines  *engine.Client
	worker   *batch.Worker
	waves    *waves
	log      *slog.Logger

	mutex sync.Mutex
	loops map[string]*engineLoop
	group sync.WaitGroup
}

// New makes a supervisor.
func New(node *cluster.Node, engines *registry.Registry, holder *revision.Holder, client *engine.Client, worker *batch.Worker, log *slog.Logger) *Supervisor {
	return &Supervisor{
		node: node, registry: engines, holder: holder, engines: client, worker: worker,
		waves: newWaves(), log: log, loops: map[string]*engineLoop{},
	}
}

// Receive is the membership subscriber for yield hints and rollout waves.
func (s *Supervisor) Receive(event membership.Event) {
	switch event.Kind {
	case membership.EventHint:
		s.receiveHint(event.Item)
	case membership.EventItem:
		s.waves.receive(event.Item)
	}
}

// YieldItem is the hint by which a gateway tells an engine's supervisor how
// many online requests it has on the engine.
func YieldItem(name string, online int) membership.Item {
	return membership.Item{Key: registry.PrefixYield + name, Payload: binary.AppendUvarint(nil, uint64(online))}
}

func (s *Supervisor) receiveHint(item membership.Item) {
	if !strings.HasPrefix(item.Key, registry.PrefixYield) {
		return
	}
	online, size := binary.Uvarint(item.Payload)
	if size <= 0 {
		return
	}
	s.Yield(strings.TrimPrefix(item.Key, registry.PrefixYield), int(online))
}

// Yield shrinks an engine's batch window for online requests that are on
// their way.
func (s *Supervisor) Yield(name string, online int) {
	s.mutex.Lock()
	loop, supervised := s.loops[name]
	s.mutex.Unlock()
	if supervised {
		loop.yield(online)
	}
}

// Run supervises until the context ends, then waits for its loops.
func (s *Supervisor) Run(ctx context.Context) {
	go s.coordinateRollouts(ctx)
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.group.Wait()
			return
		case <-s.registry.Changed():
		case <-ticker.C:
		}
		s.reconcile(ctx)
	}
}

// reconcile starts loops for engines that this daemon should supervise and
// stops the others.
func (s *Supervisor) reconcile(ctx context.Context) {
	names := s.node.ZoneNames()
	self := s.node.Self().Name
	wanted := map[string]bool{}
	for _, view := range s.registry.Engines() {
		if duty.Owner(EngineDuty(view.Name), names) == self {
			wanted[view.Name] = true
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, loop := range s.loops {
		if !wanted[name] {
			loop.cancel()
			delete(s.loops, name)
		}
	}
	for name := range wanted {
		if _, running := s.loops[name]; !running {
			s.startLoop(ctx, name)
		}
	}
	s.setDemand()
}

func (s *Supervisor) startLoop(ctx context.Context, name string) {
	loop := newEngineLoop(s, name)
	loop.context, loop.cancel = context.WithCancel(ctx)
	s.loops[name] = loop
	s.group.Add(1)
	go func() {
		defer s.group.Done()
		loop.run()
	}()
	s.log.Info("engine_supervised", "engine", name)
}

// setDemand tells the worker how many items the supervised engines could run.
// mutex is held.
func (s *Supervisor) setDemand() {
	demand := map[string]int{}
	for _, service := range s.holder.Services() {
		demand[service] = 0
	}
	for name, loop := range s.loops {
		if view, known := s.registry.Engine(name); known {
			demand[view.Machine.Service] += loop.windowSize()
		}
	}
	for service, items := range demand {
		s.worker.SetDemand(service, items)
	}
}

// Engines returns the names of the supervised engines.
func (s *Supervisor) Engines() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	names := make([]string, 0, len(s.loops))
	for name := range s.loops {
		names = append(names, name)
	}
	return names
}

// StopBatch cancels all running batch items; their tasks go back to the
// worker.
func (s *Supervisor) StopBatch() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, loop := range s.loops {
		loop.stopBatch()
	}
}

// modelsFor returns what the engines of a service load under a bundle.
func modelsFor(active *bundle.Bundle, service string) []string {
	models := []string{}
	for _, name := range active.Services[service].Models {
		models = append(models, engine.LoadedModel(name, active.Models[name].Version))
	}
	return models
}
