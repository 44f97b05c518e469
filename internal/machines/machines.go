// Package machines polls the platform's machine list, which may be out of date. It
// takes from it the seed addresses through which a daemon joins, and publishes the
// zone's engines by gossip.
package machines

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/registry"
	"topazpulley/internal/storage"
)

const (
	watchersPerZone = 2
	pollInterval    = time.Second
	listTimeout     = 3 * time.Second
	refreshInterval = 2 * time.Minute
)

// Watcher polls the machine list once at start, for seeds, and then while this
// daemon is one of its zone's watchers.
type Watcher struct {
	platform *storage.Client
	node     *cluster.Node
	registry *registry.Registry
	log      *slog.Logger
	// seeds are the addresses from the settings.
	seeds []string
	// sent contains the last published record of each engine by its name.
	sent map[string]sentRecord
}

// sentRecord is the last published record of an engine and the time of publishing.
type sentRecord struct {
	record registry.MachineRecord
	at     time.Time
}

// NewWatcher returns a watcher; seeds are the addresses from the settings.
func NewWatcher(client *storage.Client, node *cluster.Node, engines *registry.Registry, seeds []string, log *slog.Logger) *Watcher {
	return &Watcher{platform: client, node: node, registry: engines, seeds: seeds, log: log, sent: map[string]sentRecord{}}
}

// Run polls until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.node.SetSeeds(w.seeds)
	w.poll(ctx)
	periodic.Run(ctx, pollInterval, func() {
		if w.isWatcher() {
			w.poll(ctx)
		}
	})
}

// isWatcher reports whether this daemon is one of its zone's watchers. A daemon
// without other live members in its zone always is, so that it finds seeds.
func (w *Watcher) isWatcher() bool {
	self := w.node.Self()
	owners := duty.Owners("machines/"+self.Zone, w.node.ZoneNames(), watchersPerZone)
	return slices.Contains(owners, self.Name)
}

func (w *Watcher) poll(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := w.platform.List(bounded)
	if err != nil {
		w.log.Debug("machine_list_unreadable", "error", err)
		return
	}
	w.setSeeds(list)
	w.publishEngines(list, time.Now())
}

func (w *Watcher) setSeeds(list []storage.Machine) {
	seeds := slices.Clone(w.seeds)
	self := w.node.Self()
	for _, machine := range list {
		if machine.Kind == storage.MachineDaemon && machine.State == storage.MachineLive && machine.Name != self.Name {
			seeds = append(seeds, machine.Address)
		}
	}
	w.node.SetSeeds(seeds)
}

// publishEngines publishes the machine records of the zone's engines, and a
// removal for each engine that is no longer in the list.
func (w *Watcher) publishEngines(list []storage.Machine, now time.Time) {
	zone := w.node.Self().Zone
	present := map[string]bool{}
	for _, machine := range list {
		if machine.Kind != storage.MachineEngine || machine.Zone != zone {
			continue
		}
		present[machine.Name] = true
		w.publish(machine.Name, registry.FromMachine(machine), now)
	}
	for _, view := range w.registry.Engines() {
		if !present[view.Name] {
			w.publish(view.Name, registry.MachineRecord{Removed: true}, now)
		}
	}
}

// publish publishes an engine's record if it differs from the registry's or was last
// published at least refreshInterval ago. Leaving and removed engines have urgent priority.
func (w *Watcher) publish(name string, record registry.MachineRecord, now time.Time) {
	known, isKnown := w.registry.Engine(name)
	last := w.sent[name]
	isChanged := !isKnown || known.Machine != record
	if !isChanged && now.Sub(last.at) < refreshInterval {
		return
	}
	w.sent[name] = sentRecord{record: record, at: now}
	priority := membership.PriorityState
	if record.Leaving || record.Removed {
		priority = membership.PriorityUrgent
	}
	w.node.Publish(membership.Item{Key: registry.PrefixMachine + name, Zone: w.node.Self().Zone, Priority: priority, Payload: record.Encode()})
	if isChanged {
		w.log.Info("machine_changed", "engine", name, "address", record.Address, "leaving", record.Leaving, "removed", record.Removed)
	}
}
