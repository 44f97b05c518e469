package scale

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

// supervise takes up the daemon's engine duties and publishes the load of its
// engines, which changes all the time, at the supervisors' interval.
func (n *Network) supervise(daemon *hollow) {
	if n.now.Sub(daemon.dutyAt) >= dutyInterval {
		daemon.dutyAt = n.now
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

func (n *Network) dutiesOf(daemon *hollow) []int {
	names := []string{}
	for _, member := range daemon.core.Members() {
		if member.Zone == zoneName(daemon.zone) {
			names = append(names, member.Name)
		}
	}
	held := []int{}
	for _, engine := range n.enginesOf(daemon.zone) {
		if duty.Owner(supervisor.EngineDuty(engineName(engine)), names) == name(daemon.index) {
			held = append(held, engine)
		}
	}
	return held
}

// loadAge returns the mean age of the load records that daemons hold of their
// zone's engines, and the share of engines of which a daemon holds none.
func (n *Network) loadAge() (mean time.Duration, missing float64) {
	total, count, wanted := time.Duration(0), 0, 0
	for _, daemon := range n.daemons {
		for _, engine := range n.enginesOf(daemon.zone) {
			wanted++
			item, known := daemon.core.Item(registry.PrefixLoad + engineName(engine))
			if !known {
				continue
			}
			total += n.now.Sub(time.UnixMilli(item.Version))
			count++
		}
	}
	if count == 0 {
		return 0, 1
	}
	return total / time.Duration(count), 1 - float64(count)/float64(wanted)
}
