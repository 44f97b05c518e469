package exchange

import (
	"slices"

	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/topology"
)

const (
	// relaysPerZone is how many daemons of a zone gather its loads: when one is
	// lost, the other's sums still come.
	relaysPerZone = 2
)

// audience is whom a daemon tells what.
type audience struct {
	// isRelayed tells that loads go through relays.
	isRelayed bool
	// members are the daemons told directly; none if isRelayed.
	members []string
	// relays are those of the own zone, the first one first.
	relays []string
	// zone are the other daemons of the zone, to which a relay tells sums.
	zone []string
	// zoneRelays are the relays of other zones to which this daemon, being a
	// relay, tells its zone's total.
	zoneRelays []string
	// relayOf is the same by zone.
	relayOf map[string]string
}

// audienceOf works out whom a daemon tells from the members that it knows.
// Daemons that see different members disagree for a moment, which costs news
// and no more.
// One that knows a section of the backends tells those that share some with it; what
// happens elsewhere does not concern it.
func audienceOf(self membership.Member, members []membership.Member, directLimit int, section section) audience {
	if section.isPart && len(members) > directLimit {
		return audience{members: topology.Neighbors(self.Name, section.width, namesOf(members))}
	}
	names := map[string][]string{}
	for _, member := range members {
		names[member.Zone] = append(names[member.Zone], member.Name)
	}
	found := audience{isRelayed: len(members) > directLimit}
	if !found.isRelayed {
		for _, member := range members {
			if member.Name != self.Name {
				found.members = append(found.members, member.Name)
			}
		}
		return found
	}
	found.relays = relaysOf(self.Zone, names[self.Zone])
	rank := slices.Index(found.relays, self.Name)
	if rank < 0 {
		return found
	}
	for _, name := range names[self.Zone] {
		if name != self.Name {
			found.zone = append(found.zone, name)
		}
	}
	found.relayOf = map[string]string{}
	for zone, others := range names {
		if zone == self.Zone {
			continue
		}
		// Relays of the same rank talk to each other.
		if ranked := relaysOf(zone, others); len(ranked) > 0 {
			found.relayOf[zone] = ranked[min(rank, len(ranked)-1)]
			found.zoneRelays = append(found.zoneRelays, found.relayOf[zone])
		}
	}
	return found
}

// section is how much of the ring of backends a daemon knows.
type section struct {
	width  float64
	isPart bool
}

func namesOf(members []membership.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// isRelay reports whether this daemon gathers the loads of its zone.
func (a audience) isRelay(self string) bool { return slices.Contains(a.relays, self) }

func relaysOf(zone string, names []string) []string {
	return duty.Owners("load-relay/"+zone, names, relaysPerZone)
}
