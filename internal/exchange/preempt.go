package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"topazpulley/internal/membership"
)

// betweenZones is the payload of a preemption that a relay passes to a relay of
// another zone, which passes it on to a daemon of its own and no further.
var betweenZones = []byte{1}

// preempt has one batch item of another daemon give way at a backend: that of a
// daemon known to have some there, or, where loads are relayed, that of a daemon
// which the zone's relay knows.
func (e *Exchange) preempt(id string) {
	audience := e.currentAudience(time.Now())
	switch {
	case !audience.isRelayed:
		e.mutex.Lock()
		owner, found := drawByCount(e.backends.PeerBatch(id), e.random)
		e.mutex.Unlock()
		if found {
			e.sendPreemption(owner, id, nil)
		}
	case audience.isRelay(e.self.Name):
		e.routePreemption(id, audience, true)
	case len(audience.relays) > 0:
		e.sendPreemption(audience.relays[0], id, nil)
	}
}

// acceptPreemption gives way, or passes a preemption on if this daemon relays
// for its zone.
func (e *Exchange) acceptPreemption(id string, isBetweenZones bool) {
	if e.backends.HasBatch(id) {
		e.backends.PreemptOwn(id)
		return
	}
	audience := e.currentAudience(time.Now())
	if audience.isRelayed && audience.isRelay(e.self.Name) {
		e.routePreemption(id, audience, !isBetweenZones)
	}
}

// routePreemption passes a preemption to a daemon of the zone with items at the
// backend or, if allowed, to the relay of a zone with some.
func (e *Exchange) routePreemption(id string, audience audience, mayLeaveZone bool) {
	e.mutex.Lock()
	member, zone, found := e.relay.takeBatch(id, mayLeaveZone, e.random)
	e.mutex.Unlock()
	switch {
	case !found:
	case member == e.self.Name:
		e.backends.PreemptOwn(id)
	case member != "":
		e.sendPreemption(member, id, nil)
	default:
		if name, known := audience.relayOf[zone]; known {
			e.sendPreemption(name, id, betweenZones)
		}
	}
}

func (e *Exchange) sendPreemption(name, id string, payload []byte) {
	if payload == nil {
		payload = []byte{}
	}
	e.node.Hint(name, membership.Item{Key: keyPreempt + id, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: payload})
}

// takeBatch draws an item at a backend from those that daemons of the zone, or
// other zones, are known to have there, and counts it no more until they tell
// their loads anew. It returns the daemon's name or the zone's.
func (r *relay) takeBatch(id string, mayLeaveZone bool, random *rand.Rand) (member, zone string, found bool) {
	inZone, elsewhere := batchBy(r.members, id), map[string]int{}
	if mayLeaveZone {
		elsewhere = batchBy(r.zones, id)
	}
	all := total(inZone) + total(elsewhere)
	if all == 0 {
		return "", "", false
	}
	if random.IntN(all) < total(inZone) {
		member, _ = drawByCount(inZone, random)
		r.members[member].preempted[id]++
		return member, "", true
	}
	zone, _ = drawByCount(elsewhere, random)
	r.zones[zone].preempted[id]++
	return "", zone, true
}

// batchBy returns how many batch items there are at a backend, by who told.
func batchBy(heard map[string]heardLoads, id string) map[string]int {
	counts := map[string]int{}
	for name, each := range heard {
		if count := each.batchAt(id); count > 0 {
			counts[name] = count
		}
	}
	return counts
}

func total(counts map[string]int) int {
	sum := 0
	for _, count := range counts {
		sum += count
	}
	return sum
}

// drawByCount draws a name by its count.
func drawByCount(counts map[string]int, random *rand.Rand) (string, bool) {
	sum := total(counts)
	if sum == 0 {
		return "", false
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	left := random.IntN(sum)
	for _, name := range names {
		left -= counts[name]
		if left < 0 {
			return name, true
		}
	}
	return "", false
}
