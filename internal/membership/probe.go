package membership

import (
	"time"
)

// notePause shifts every deadline when the process itself was stopped, so
// that a resumed member does not blame others for its own absence.
func (c *Core) notePause(now time.Time) {
	gap := now.Sub(c.lastTick)
	c.lastTick = now
	if gap < c.config.ProbeTimeout {
		return
	}
	c.statistics.Pauses++
	for _, waiting := range c.probes {
		waiting.indirectAt = waiting.indirectAt.Add(gap)
		waiting.deadline = waiting.deadline.Add(gap)
	}
	for name, end := range c.suspectEnd {
		c.suspectEnd[name] = end.Add(gap)
	}
}

func (c *Core) judgeProbes(now time.Time) []Datagram {
	out := []Datagram{}
	for sequence, waiting := range c.probes {
		if !waiting.isIndirect && !waiting.isReconnect && !now.Before(waiting.indirectAt) {
			waiting.isIndirect = true
			out = append(out, c.askIndirect(sequence, waiting)...)
		}
		if now.Before(waiting.deadline) {
			continue
		}
		delete(c.probes, sequence)
		if !waiting.isReconnect {
			c.healthLack = min(c.healthLack+1, maxHealthLack)
			c.suspect(waiting.target, now)
		}
	}
	return out
}

func (c *Core) askIndirect(sequence int64, waiting *probe) []Datagram {
	target := c.members[waiting.target]
	helpers := c.randomMembers(c.config.IndirectProbes, waiting.target)
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
	c.accused[name] = true
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

// youthPatience is how many times longer a member in the first moments of its life waits for
// answers: it is busy with learning the others, and where all have just started they are too.
// In a large fleet each false suspicion is an update for everybody, and so is its refutation.
const youthPatience = 3

// startProbe pings the next member of a shuffled ring.
func (c *Core) startProbe(now time.Time) []Datagram {
	target, found := c.nextTarget()
	if !found {
		return nil
	}
	c.sequence++
	stretch := time.Duration(c.healthLack + 1)
	if c.isYoung(now) {
		stretch *= youthPatience
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

// tellAccused tells suspects of their suspicion, so that a live one can refute
// it whatever becomes of gossip.
func (c *Core) tellAccused() []Datagram {
	out := []Datagram{}
	for name := range c.accused {
		packet := c.packet(PacketGossip, 0)
		packet.Members = []Member{c.members[name]}
		out = append(out, c.count(Datagram{Address: c.members[name].Address, Packet: packet}))
	}
	return out
}

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

// reconnect pings one dead member and a seed that no live member accounts
// for, or some, so that groups that lost each other, or never met, find together.
func (c *Core) reconnect(now time.Time) []Datagram {
	addresses := []string{}
	if dead, found := c.randomDead(); found {
		addresses = append(addresses, dead.Address)
	}
	addresses = append(addresses, c.someSeeds(now)...)
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

// someSeeds draws from the seeds that no live member accounts for: one, or some
// while the member joins.
func (c *Core) someSeeds(now time.Time) []string {
	strangers := c.unknownSeeds()
	c.random.Shuffle(len(strangers), func(a, b int) { strangers[a], strangers[b] = strangers[b], strangers[a] })
	count := 1
	if c.isJoining(now) {
		count = joinSeeds
	}
	return strangers[:min(count, len(strangers))]
}

// unknownSeeds returns the seeds that are no live member's address.
func (c *Core) unknownSeeds() []string {
	live := make(map[string]bool, c.liveCount)
	for _, member := range c.members {
		if member.Live() {
			live[member.Address] = true
		}
	}
	strangers := []string{}
	for _, seed := range c.seeds {
		if !live[seed] {
			strangers = append(strangers, seed)
		}
	}
	return strangers
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
	if waiting, known := c.probes[packet.Sequence]; known {
		delete(c.probes, packet.Sequence)
		if !waiting.isReconnect {
			c.healthLack = max(c.healthLack-1, 0)
		}
		c.compareDigest(now, packet)
	}
	return nil
}

func (c *Core) relayPing(now time.Time, packet Packet) []Datagram {
	c.sequence++
	c.relays[c.sequence] = relay{requester: packet.FromAddress, sequence: packet.Sequence, deadline: now.Add(c.config.ProbeInterval)}
	ping := c.packet(PacketPing, c.sequence)
	ping.Target = packet.Target
	return []Datagram{c.send(packet.TargetAddress, ping, 0, "")}
}
