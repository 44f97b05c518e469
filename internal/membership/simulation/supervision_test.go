package simulation

import (
	"fmt"
	"time"

	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
	"topazpulley/internal/supervisor"
)

const (
	dutyInterval = time.Second
	loadRange    = 32
)

func engineName(engine int) string { return fmt.Sprintf("engine-%03d", engine) }

// enginesOf returns the engines of a zone.
func (n *Network) enginesOf(zone int) []int {
	engines := []int{}
	for engine := zone; engine < n.topology.Engines; engine += n.topology.Zones {
		engines = append(engines, engine)
	}
	return engines
}

// supervise updates which engines the daemon supervises and publishes a random load
// for each of them at the supervisors' interval.
func (n *Network) supervise(daemon *simulatedDaemon) {
	if n.now.Sub(daemon.dutiesAt) >= dutyInterval {
		daemon.dutiesAt = n.now
		daemon.supervised = n.dutiesOf(daemon)
	}
	interval := supervisor.LoadInterval(n.topology.Engines / n.topology.Zones)
	for _, engine := range daemon.supervised {
		if n.now.Before(daemon.publishAt[engine]) {
			continue
		}
		daemon.publishAt[engine] = n.now.Add(interval)
		load := registry.LoadRecord{Online: n.random.IntN(loadRange), Waiting: n.random.IntN(4), Batch: n.random.IntN(loadRange), KVPermille: n.random.IntN(1000), BatchWindow: n.random.IntN(loadRange)}
		daemon.core.Publish(membership.Item{Key: registry.PrefixLoad + engineName(engine), Zone: zoneName(daemon.zone), Priority: membership.PriorityLoad, Payload: load.Encode()}, n.now)
	}
}

// dutiesOf returns the engines that the daemon has to supervise by its member list.
func (n *Network) dutiesOf(daemon *simulatedDaemon) []int {
	names := []string{}
	for _, member := range daemon.core.Members() {
		if member.Zone == zoneName(daemon.zone) {
			names = append(names, member.Name)
		}
	}
	owned := []int{}
	for _, engine := range n.enginesOf(daemon.zone) {
		if duty.Owner(supervisor.EngineDuty(engineName(engine)), names) == name(daemon.index) {
			owned = append(owned, engine)
		}
	}
	return owned
}
