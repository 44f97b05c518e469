// Package supervisor supervises engines. One daemon of the zone is assigned to each
// engine by rendezvous hashing. It probes the engine, publishes its health and load to
// the zone, orders configuration revisions and dispatches batch items within the
// engine's batch window.
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
	// downAfterFailedProbes is the number of consecutive failed probes after which an
	// engine is published as down.
	downAfterFailedProbes = 2
	recordRefreshInterval = 2 * time.Minute
	minLoadInterval       = 500 * time.Millisecond
	// loadIntervalPerEngine is multiplied by the number of engines in the zone, so
	// that load records stay within the byte limit of gossip.
	loadIntervalPerEngine = 50 * time.Millisecond
	// batchPauseTime is how long batch dispatch to an engine pauses after a failed or
	// refused attempt, or after the write of an intent failed.
	batchPauseTime = 200 * time.Millisecond
	// maxItemFailures is the number of attempts with an unknown outcome after which
	// an item fails.
	maxItemFailures = 20
)

// EngineDuty returns the rendezvous key by which an engine is assigned to a daemon.
func EngineDuty(name string) string { return "engine/" + name }

// LoadInterval returns the least time between two load records of one engine in a
// zone with zoneEngines engines.
func LoadInterval(zoneEngines int) time.Duration {
	return max(minLoadInterval, time.Duration(zoneEngines)*loadIntervalPerEngine)
}

// Supervisor supervises the engines that are assigned to this daemon. mutex guards
// loops.
type Supervisor struct {
	node     *cluster.Node
	registry *registry.Registry
	holder   *revision.Holder
	engines  *engine.Client
	worker   *batch.Worker
	waves    *waves
	log      *slog.Logger

	mutex sync.Mutex
	// loops maps the names of the supervised engines to their loops.
	loops map[string]*engineLoop
	// group counts the running loops and items.
	group sync.WaitGroup
}

// New returns a supervisor. Run starts it.
func New(node *cluster.Node, engines *registry.Registry, holder *revision.Holder, client *engine.Client, worker *batch.Worker, log *slog.Logger) *Supervisor {
	return &Supervisor{
		node: node, registry: engines, holder: holder, engines: client, worker: worker,
		waves: newWaves(), log: log, loops: map[string]*engineLoop{},
	}
}

// Receive handles membership events: preemption hints and rollout waves.
func (s *Supervisor) Receive(event membership.Event) {
	switch event.Kind {
	case membership.EventHint:
		s.receiveHint(event.Item)
	case membership.EventItem:
		s.waves.receive(event.Item)
	}
}

// YieldItem returns the preemption hint for an engine: it reports to the supervisor
// how many online requests a daemon has on the engine.
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

// Yield shrinks an engine's batch window for online requests that a daemon has on
// the engine, and preempts batch items in excess of it.
func (s *Supervisor) Yield(name string, online int) {
	s.mutex.Lock()
	loop, supervised := s.loops[name]
	s.mutex.Unlock()
	if supervised {
		loop.applyHint(online)
	}
}

// Run supervises until the context ends, then waits for all loops and items.
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

// reconcile starts loops for the engines that are assigned to this daemon and stops
// the others.
func (s *Supervisor) reconcile(ctx context.Context) {
	names := s.node.ZoneNames()
	self := s.node.Self().Name
	owned := map[string]bool{}
	for _, view := range s.registry.Engines() {
		if duty.Owner(EngineDuty(view.Name), names) == self {
			owned[view.Name] = true
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for name, loop := range s.loops {
		if !owned[name] {
			loop.cancel()
			delete(s.loops, name)
		}
	}
	for name := range owned {
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

// setDemand sets the worker's demand per service to the sum of the batch windows of the
// supervised engines. The caller holds mutex.
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

// StopBatch cancels the running batch items of all supervised engines and stops their
// batch dispatch. The tasks go back to the worker.
func (s *Supervisor) StopBatch() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, loop := range s.loops {
		loop.stopBatch()
	}
}

// modelsFor returns the models that the engines of a service load under a bundle.
func modelsFor(active *bundle.Bundle, service string) []string {
	models := []string{}
	for _, name := range active.Services[service].Models {
		models = append(models, engine.LoadedModel(name, active.Models[name].Version))
	}
	return models
}
