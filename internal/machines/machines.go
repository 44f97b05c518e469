// Package machines watches the platform's lagging machine list: it gives the
// addresses by which a daemon joins, and spreads the zone's engines by gossip.
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

// Watcher polls the machine list while the duty falls to this daemon, and once
// at start for seeds.
type Watcher struct {
	platform *storage.Client
	node     *cluster.Node
	registry *registry.Registry
	log      *slog.Logger
	seeds    []string
	sent     map[string]sentRecord
}

// sentRecord is what was last published of an engine.
type sentRecord struct {
	record registry.MachineRecord
	at     time.Time
}

// NewWatcher makes a watcher; seeds are the addresses of the settings.
func NewWatcher(client *storage.Client, node *cluster.Node, engines *registry.Registry, seeds []string, log *slog.Logger) *Watcher {
	return &Watcher{platform: client, node: node, registry: engines, seeds: seeds, log: log, sent: map[string]sentRecord{}}
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	w.node.SetSeeds(w.seeds)
	w.poll(ctx)
	periodic.Run(ctx, pollInterval, func() {
		if w.isWatcher() {
			w.poll(ctx)
		}
	})
}

// isWatcher reports whether the duty falls to this daemon; a daemon that
// knows no other polls in any case, to find seeds.
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

// publishEngines spreads what changed in this zone, and everything from time
// to time. Leaving is urgent.
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

func (w *Watcher) publish(name string, record registry.MachineRecord, now time.Time) {
	known, isKnown := w.registry.Engine(name)
	last := w.sent[name]
	isNews := !isKnown || known.Machine != record
	if !isNews && now.Sub(last.at) < refreshInterval {
		return
	}
	w.sent[name] = sentRecord{record: record, at: now}
	priority := membership.PriorityState
	if record.Leaving || record.Removed {
		priority = membership.PriorityUrgent
	}
	w.node.Publish(membership.Item{Key: registry.PrefixMachine + name, Zone: w.node.Self().Zone, Priority: priority, Payload: record.Encode()})
	if isNews {
		w.log.Info("machine_changed", "engine", name, "address", record.Address, "leaving", record.Leaving, "removed", record.Removed)
	}
}
