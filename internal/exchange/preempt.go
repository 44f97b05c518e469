package exchange

import (
	"math/rand/v2"
	"slices"
	"time"

	"topazpulley/internal/membership"
)

// crossZone is the payload of a preemption that a relay sends to a relay of another
// zone, which forwards it only within its own zone.
var crossZone = []byte{1}

// preempt requests the preemption of one batch item of another daemon at a backend. With
// relays the zone's relay selects the daemon.
func (e *Exchange) preempt(id string) {
	recipients := e.currentRecipients(time.Now())
	switch {
	case !recipients.isRelayed:
		e.mutex.Lock()
		owner, found := drawByCount(e.backends.PeerBatch(id), e.random)
		e.mutex.Unlock()
		if found {
			e.sendPreemption(owner, id, nil)
		}
	case recipients.isRelay(e.self.Name):
		e.routePreemption(id, recipients, true)
	case len(recipients.relays) > 0:
		e.sendPreemption(recipients.relays[0], id, nil)
	}
}

// acceptPreemption preempts an own batch item at the backend, or forwards the
// preemption if this daemon has none there and is a relay.
func (e *Exchange) acceptPreemption(id string, isCrossZone bool) {
	if e.backends.HasBatch(id) {
		e.backends.PreemptOwn(id)
		return
	}
	recipients := e.currentRecipients(time.Now())
	if recipients.isRelayed && recipients.isRelay(e.self.Name) {
		e.routePreemption(id, recipients, !isCrossZone)
	}
}

// routePreemption sends a preemption to a daemon of the zone with batch items at the
// backend or, if mayLeaveZone, to the relay of another zone with batch items there.
func (e *Exchange) routePreemption(id string, recipients recipients, mayLeaveZone bool) {
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
		if name, known := recipients.relayOf[zone]; known {
			e.sendPreemption(name, id, crossZone)
		}
	}
}

func (e *Exchange) sendPreemption(name, id string, payload []byte) {
	if payload == nil {
		payload = []byte{}
	}
	e.node.Hint(name, membership.Item{Key: keyPreempt + id, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: payload})
}

// takeBatch draws a random batch item at a backend from the loads of the daemons of the
// zone and, if mayLeaveZone, of other zones. The item is not counted again until the
// loads are replaced. It returns the name of the item's daemon or zone.
func (r *relay) takeBatch(id string, mayLeaveZone bool, random *rand.Rand) (member, zone string, found bool) {
	inZone, elsewhere := batchCounts(r.members, id), map[string]int{}
	if mayLeaveZone {
		elsewhere = batchCounts(r.zones, id)
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

// batchCounts returns the number of batch items at a backend by daemon or zone.
func batchCounts(received map[string]receivedLoads, id string) map[string]int {
	counts := map[string]int{}
	for name, each := range received {
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

// drawByCount draws a random name weighted by its count. It returns false if all counts
// are 0.
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
	remaining := random.IntN(sum)
	for _, name := range names {
		remaining -= counts[name]
		if remaining < 0 {
			return name, true
		}
	}
	return "", false
}
