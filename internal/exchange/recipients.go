package exchange

import (
	"slices"

	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/topology"
)

const (
	// relaysPerZone is the number of relays per zone, for redundancy.
	relaysPerZone = 2
)

// recipients holds the daemons that a daemon sends its messages to.
type recipients struct {
	// isRelayed is true if loads are sent through relays.
	isRelayed bool
	// members are the daemons that get messages directly; empty if isRelayed.
	members []string
	// relays are the relays of the own zone in order of rank.
	relays []string
	// zone are the other daemons of the zone; set if this daemon is a relay.
	zone []string
	// zoneRelays are the relays of other zones that get the total of this zone;
	// set if this daemon is a relay.
	zoneRelays []string
	// relayOf holds zoneRelays by zone.
	relayOf map[string]string
}

// recipientsOf computes the recipients of a daemon from its member list. While member
// lists differ between daemons, some messages may be lost. In a fleet above directLimit
// a daemon with a partial section sends to the daemons whose sections overlap its own.
func recipientsOf(self membership.Member, members []membership.Member, directLimit int, section section) recipients {
	if section.isPartial && len(members) > directLimit {
		return recipients{members: topology.Neighbors(self.Name, section.width, namesOf(members))}
	}
	names := map[string][]string{}
	for _, member := range members {
		names[member.Zone] = append(names[member.Zone], member.Name)
	}
	found := recipients{isRelayed: len(members) > directLimit}
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
		// A relay sends to the relays of the same rank in other zones.
		if ranked := relaysOf(zone, others); len(ranked) > 0 {
			found.relayOf[zone] = ranked[min(rank, len(ranked)-1)]
			found.zoneRelays = append(found.zoneRelays, found.relayOf[zone])
		}
	}
	return found
}

// section is the part of the ring of backends that a daemon uses: width is its share of
// the ring, isPartial is true if it is not the whole ring.
type section struct {
	width     float64
	isPartial bool
}

func namesOf(members []membership.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	return names
}

// isRelay reports whether the daemon with the name self is a relay of its zone.
func (r recipients) isRelay(self string) bool { return slices.Contains(r.relays, self) }

func relaysOf(zone string, names []string) []string {
	return duty.Owners("load-relay/"+zone, names, relaysPerZone)
}
