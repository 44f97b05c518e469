package exchange

import (
	"time"

	"topazpulley/internal/backend"
)

// relay collects the loads of a zone's daemons and the totals of other zones and
// computes the totals to send. It does no I/O and is not safe for concurrent use.
type relay struct {
	// members holds the loads of the zone's daemons by name, zones the totals of
	// other zones by zone.
	members map[string]receivedLoads
	zones   map[string]receivedLoads
	// pending holds the events to forward by their origin.
	pending map[origin]eventSet
}

// origin identifies the sender of loads or events: a daemon of the zone or another zone.
type origin struct {
	name   string
	isZone bool
}

// receivedLoads holds the last loads from one origin.
type receivedLoads struct {
	loads loadSet
	at    time.Time
	// preempted counts the preemptions sent since the loads were received, by backend.
	preempted map[string]int
}

// batchAt returns the number of batch items at a backend without those being preempted.
func (l receivedLoads) batchAt(id string) int {
	return max(l.loads.inFlight[id].Batch-l.preempted[id], 0)
}

func newRelay() *relay {
	return &relay{members: map[string]receivedLoads{}, zones: map[string]receivedLoads{}, pending: map[origin]eventSet{}}
}

// setMember replaces the loads of a daemon of the zone and adds its events.
func (r *relay) setMember(name string, loads loadSet, events eventSet, now time.Time) {
	r.members[name] = receivedLoads{loads: loads, at: now, preempted: map[string]int{}}
	r.addEvents(origin{name: name}, events)
}

// setZone replaces the total of another zone and adds its events.
func (r *relay) setZone(zone string, loads loadSet, events eventSet, now time.Time) {
	r.zones[zone] = receivedLoads{loads: loads, at: now, preempted: map[string]int{}}
	r.addEvents(origin{name: zone, isZone: true}, events)
}

func (r *relay) addEvents(from origin, events eventSet) {
	if events.isEmpty() {
		return
	}
	collected := r.pending[from]
	collected.add(events)
	r.pending[from] = collected
}

// removeMember drops the loads of a daemon.
func (r *relay) removeMember(name string) { delete(r.members, name) }

// removeStale drops loads that were received before since.
func (r *relay) removeStale(since time.Time) {
	for _, received := range []map[string]receivedLoads{r.members, r.zones} {
		for name, each := range received {
			if each.at.Before(since) {
				delete(received, name)
			}
		}
	}
}

// zoneTotal returns the total loads of the zone.
func (r *relay) zoneTotal() loadSet {
	total := loadSet{inFlight: map[string]backend.PeerLoad{}}
	for _, each := range r.members {
		total.add(each.loads)
	}
	return total
}

// fleetTotal returns the total loads of all zones.
func (r *relay) fleetTotal() loadSet {
	total := r.zoneTotal()
	for _, each := range r.zones {
		total.add(each.loads)
	}
	return total
}

// othersOf returns total without the loads of the named daemon.
func (r *relay) othersOf(name string, total loadSet) loadSet {
	return total.without(r.members[name].loads)
}

// takeEvents removes and returns the events to forward.
func (r *relay) takeEvents() pendingEvents {
	taken := r.pending
	r.pending = map[origin]eventSet{}
	return taken
}

// pendingEvents holds events by their origin.
type pendingEvents map[origin]eventSet

// forMember returns the events for a daemon of the zone: all but its own.
func (p pendingEvents) forMember(name string) eventSet {
	collected := eventSet{}
	for from, events := range p {
		if from != (origin{name: name}) {
			collected.add(events)
		}
	}
	return collected
}

// forZones returns the events for other zones: those of this zone.
func (p pendingEvents) forZones() eventSet {
	collected := eventSet{}
	for from, events := range p {
		if !from.isZone {
			collected.add(events)
		}
	}
	return collected
}
