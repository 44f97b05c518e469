package exchange

import (
	"time"

	"topazpulley/internal/backend"
)

// relay gathers the loads of a zone's daemons and the totals of other zones, so
// that each daemon is sent one sum and not one message from every other daemon.
// It decides nothing about time or transport, and is not safe for concurrent
// use.
type relay struct {
	// members are the loads of the zone's daemons by name; zones the totals
	// that relays of other zones told.
	members map[string]heardLoads
	zones   map[string]heardLoads
	// pending are the news by the member or zone that told them, until they are
	// passed on.
	pending map[origin]news
}

// origin is who told something: a daemon of the zone, or another zone.
type origin struct {
	name   string
	isZone bool
}

type heardLoads struct {
	work loads
	at   time.Time
	// preempted counts the batch items that were asked to give way since, by
	// backend.
	preempted map[string]int
}

// batchAt returns how many batch items there are at a backend that were not
// asked to give way.
func (h heardLoads) batchAt(id string) int { return max(h.work.inFlight[id].Batch-h.preempted[id], 0) }

func newRelay() *relay {
	return &relay{members: map[string]heardLoads{}, zones: map[string]heardLoads{}, pending: map[origin]news{}}
}

// noteMember replaces what a daemon of the zone has in flight.
func (r *relay) noteMember(name string, work loads, told news, now time.Time) {
	r.members[name] = heardLoads{work: work, at: now, preempted: map[string]int{}}
	r.noteNews(origin{name: name}, told)
}

// noteZone replaces the total of another zone.
func (r *relay) noteZone(zone string, work loads, told news, now time.Time) {
	r.zones[zone] = heardLoads{work: work, at: now, preempted: map[string]int{}}
	r.noteNews(origin{name: zone, isZone: true}, told)
}

func (r *relay) noteNews(from origin, told news) {
	if told.isEmpty() {
		return
	}
	gathered := r.pending[from]
	gathered.add(told)
	r.pending[from] = gathered
}

// forgetMember drops a daemon that is gone.
func (r *relay) forgetMember(name string) { delete(r.members, name) }

// forgetSilent drops what was not refreshed since a moment.
func (r *relay) forgetSilent(since time.Time) {
	for _, heard := range []map[string]heardLoads{r.members, r.zones} {
		for name, each := range heard {
			if each.at.Before(since) {
				delete(heard, name)
			}
		}
	}
}

// zoneTotal is the work of all daemons of the zone.
func (r *relay) zoneTotal() loads {
	total := loads{inFlight: map[string]backend.PeerLoad{}}
	for _, each := range r.members {
		total.add(each.work)
	}
	return total
}

// fleetTotal is the work of all daemons of all zones.
func (r *relay) fleetTotal() loads {
	total := r.zoneTotal()
	for _, each := range r.zones {
		total.add(each.work)
	}
	return total
}

// othersOf takes a daemon's own work out of the total of the fleet.
func (r *relay) othersOf(name string, total loads) loads { return total.without(r.members[name].work) }

// takeNews returns the news to pass on and forgets them.
func (r *relay) takeNews() pendingNews {
	taken := r.pending
	r.pending = map[origin]news{}
	return taken
}

// pendingNews are news by who told them.
type pendingNews map[origin]news

// forMember returns what a daemon of the zone does not know yet: all but what
// it told itself.
func (p pendingNews) forMember(name string) news {
	gathered := news{}
	for from, told := range p {
		if from != (origin{name: name}) {
			gathered.add(told)
		}
	}
	return gathered
}

// forZones returns what other zones do not know yet: the news of this one.
func (p pendingNews) forZones() news {
	gathered := news{}
	for from, told := range p {
		if !from.isZone {
			gathered.add(told)
		}
	}
	return gathered
}
