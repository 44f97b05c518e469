package membership

import (
	"time"
)

// compensatePause moves every deadline by the length of a pause of this process, so that
// a resumed process does not suspect members that answered meanwhile.
func (c *Core) compensatePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < c.config.ProbeTimeout {
		return
	}
	c.statistics.Pauses++
	for _, pending := range c.probes {
		pending.indirectAt = pending.indirectAt.Add(gap)
		pending.deadline = pending.deadline.Add(gap)
	}
	for name, end := range c.suspectEnd {
		c.suspectEnd[name] = end.Add(gap)
	}
}

// checkProbes sends indirect probes for probes that were not answered within the probe
// timeout, and suspects the targets of probes whose deadline has passed.
func (c *Core) checkProbes(now time.Time) []Datagram {
	out := []Datagram{}
	for sequence, pending := range c.probes {
		if !pending.isIndirect && !pending.isReconnect && !now.Before(pending.indirectAt) {
			pending.isIndirect = true
			out = append(out, c.sendIndirectProbes(sequence, pending)...)
		}
		if now.Before(pending.deadline) {
			continue
		}
		delete(c.probes, sequence)
		if !pending.isReconnect {
			c.healthScore = min(c.healthScore+1, maxHealthScore)
			c.suspect(pending.target, now)
		}
	}
	return out
}

func (c *Core) sendIndirectProbes(sequence int64, pending *probe) []Datagram {
	target := c.members[pending.target]
	helpers := c.randomMembers(c.config.IndirectProbes, pending.target)
	out := []Datagram{}
	for _, helper := range helpers {
		packet := c.packet(PacketPingRequest, sequence)
		packet.Target, packet.TargetAddress = target.Name, target.Address
		out = append(out, c.send(helper.Address, packet, 0, helper.Zone))
	}
	return out
}

func (c *Core) suspect(name string, now time.Time) {
	member, known := c.members[name]
	if !known || member.State != StateAlive {
		return
	}
	member.State = StateSuspect
	c.statistics.Suspicions++
	c.ownSuspects[name] = true
	c.apply(member, now)
}

func (c *Core) expireSuspects(now time.Time) {
	for name, end := range c.suspectEnd {
		if now.Before(end) {
			continue
		}
		member := c.members[name]
		member.State = StateDead
		c.statistics.Deaths++
		c.apply(member, now)
	}
}

func (c *Core) expireRelays(now time.Time) {
	for sequence, pending := range c.relays {
		if now.After(pending.deadline) {
			delete(c.relays, sequence)
		}
	}
}

// startupTimeoutFactor multiplies the probe timeouts of a member that has just started.
// Members answer late while they exchange their lists, and each false suspicion and
// its refutation are gossiped to all members.
const startupTimeoutFactor = 3

// startProbe pings the next member of a shuffled ring.
func (c *Core) startProbe(now time.Time) []Datagram {
	target, found := c.nextTarget()
	if !found {
		return nil
	}
	c.sequence++
	stretch := time.Duration(c.healthScore + 1)
	if c.isStarting(now) {
		stretch *= startupTimeoutFactor
	}
	c.probes[c.sequence] = &probe{
		target:     target.Name,
		indirectAt: now.Add(c.config.ProbeTimeout * stretch),
		deadline:   now.Add(c.config.ProbeInterval * stretch),
	}
	packet := c.packet(PacketPing, c.sequence)
	packet.Target = target.Name
	return []Datagram{c.send(target.Address, packet, c.config.PiggybackBytes, target.Zone)}
}

// notifySuspects sends the suspicions that this member raised to the suspects, so that
// a live one can refute even if gossip is lost.
func (c *Core) notifySuspects() []Datagram {
	out := []Datagram{}
	for name := range c.ownSuspects {
		packet := c.packet(PacketGossip, 0)
		packet.Members = []Member{c.members[name]}
		out = append(out, c.countSent(Datagram{Address: c.members[name].Address, Packet: packet}))
	}
	return out
}

// nextTarget returns the next live member of the ring.
func (c *Core) nextTarget() (Member, bool) {
	for range len(c.members) + 1 {
		if c.ringIndex >= len(c.ring) {
			c.reshuffle()
		}
		if len(c.ring) == 0 {
			return Member{}, false
		}
		candidate := c.members[c.ring[c.ringIndex]]
		c.ringIndex++
		if candidate.Live() && candidate.Name != c.self.Name {
			return candidate, true
		}
	}
	return Member{}, false
}

func (c *Core) reshuffle() {
	c.refreshLive()
	c.ring = c.ring[:0]
	for _, member := range c.live {
		c.ring = append(c.ring, member.Name)
	}
	c.random.Shuffle(len(c.ring), func(a, b int) { c.ring[a], c.ring[b] = c.ring[b], c.ring[a] })
	c.ringIndex = 0
}

// reconnect pings one dead member and one or more unknown seeds, so that partitioned
// groups merge.
func (c *Core) reconnect(now time.Time) []Datagram {
	addresses := []string{}
	if dead, found := c.randomDead(); found {
		addresses = append(addresses, dead.Address)
	}
	addresses = append(addresses, c.randomSeeds(now)...)
	out := []Datagram{}
	for _, address := range addresses {
		if address == c.self.Address {
			continue
		}
		c.sequence++
		c.probes[c.sequence] = &probe{isReconnect: true, deadline: now.Add(c.config.ReconnectInterval)}
		out = append(out, c.send(address, c.packet(PacketPing, c.sequence), c.config.PiggybackBytes, ""))
	}
	return out
}

// randomSeeds picks random unknown seeds: one, or up to joinSeeds while this member
// joins.
func (c *Core) randomSeeds(now time.Time) []string {
	unknown := c.unknownSeeds()
	c.random.Shuffle(len(unknown), func(a, b int) { unknown[a], unknown[b] = unknown[b], unknown[a] })
	count := 1
	if c.isJoining(now) {
		count = joinSeeds
	}
	return unknown[:min(count, len(unknown))]
}

// unknownSeeds returns the seeds that are not the address of a live member.
func (c *Core) unknownSeeds() []string {
	live := make(map[string]bool, c.liveCount)
	for _, member := range c.members {
		if member.Live() {
			live[member.Address] = true
		}
	}
	unknown := []string{}
	for _, seed := range c.seeds {
		if !live[seed] {
			unknown = append(unknown, seed)
		}
	}
	return unknown
}

func (c *Core) answerPing(now time.Time, packet Packet) []Datagram {
	if packet.Target != "" && packet.Target != c.self.Name {
		return nil
	}
	c.compareDigest(now, packet)
	zone := c.members[packet.From].Zone
	return []Datagram{c.send(packet.FromAddress, c.packet(PacketAck, packet.Sequence), c.config.PiggybackBytes, zone)}
}

func (c *Core) acceptAck(now time.Time, packet Packet) []Datagram {
	if pending, isRelay := c.relays[packet.Sequence]; isRelay {
		delete(c.relays, packet.Sequence)
		return []Datagram{c.send(pending.requester, c.packet(PacketAck, pending.sequence), 0, "")}
	}
	if pending, known := c.probes[packet.Sequence]; known {
		delete(c.probes, packet.Sequence)
		if !pending.isReconnect {
			c.healthScore = max(c.healthScore-1, 0)
		}
		c.compareDigest(now, packet)
	}
	return nil
}

// relayPing pings a target on behalf of the sender.
func (c *Core) relayPing(now time.Time, packet Packet) []Datagram {
	c.sequence++
	c.relays[c.sequence] = relay{requester: packet.FromAddress, sequence: packet.Sequence, deadline: now.Add(c.config.ProbeInterval)}
	ping := c.packet(PacketPing, c.sequence)
	ping.Target = packet.Target
	return []Datagram{c.send(packet.TargetAddress, ping, 0, "")}
}
