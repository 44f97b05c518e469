package membership

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Core is the membership state machine of one daemon. It is not safe for
// concurrent use; Node serializes access.
type Core struct {
	config  Config
	self    Member
	random  *rand.Rand
	leaving bool

	members    map[string]Member
	changedAt  map[string]time.Time
	suspectEnd map[string]time.Time
	// accused are the members whose suspicion this member raised; it tells
	// them directly until they refute or die.
	accused   map[string]bool
	digest    uint64
	liveCount int
	zoneCount int
	// live, zoneLive and otherLive are the live members other than this one,
	// in name order: all, those of the zone, and the rest. They are rebuilt
	// when liveStale is set.
	live, zoneLive, otherLive []Member
	liveStale                 bool

	ring       []string
	ringIndex  int
	sequence   int64
	probes     map[int64]*probe
	relays     map[int64]relay
	nextProbe  time.Time
	nextGossip time.Time
	nextRetry  time.Time
	nextSync   time.Time
	lastTick   time.Time
	gossipTurn int
	healthLack int

	items     map[string]heldItem
	queue     map[string]*queued
	allowance float64
	revision  int64
	events    []Event
	seeds     []string

	statistics Statistics
}

// Statistics counts what happened, for metrics and the scale run.
type Statistics struct {
	Suspicions  uint64
	Refutations uint64
	Deaths      uint64
	Pauses      uint64
	PacketsSent uint64
	BytesSent   uint64
}

// probe is a ping that waits for its answer.
type probe struct {
	target      string
	indirectAt  time.Time
	deadline    time.Time
	isIndirect  bool
	isReconnect bool
}

// relay remembers for whom this member probes.
type relay struct {
	requester string
	sequence  int64
	deadline  time.Time
}

const maxHealthLack = 4

// New returns a core that knows only itself. The member's incarnation must be
// higher than in any earlier life of the same name.
func New(config Config, self Member, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		config: config, self: self, random: random,
		members:    map[string]Member{},
		changedAt:  map[string]time.Time{},
		suspectEnd: map[string]time.Time{},
		accused:    map[string]bool{},
		probes:     map[int64]*probe{},
		relays:     map[int64]relay{},
		items:      map[string]heldItem{},
		queue:      map[string]*queued{},
		lastTick:   now,
	}
	core.nextProbe = now.Add(core.jitter(config.ProbeInterval))
	core.nextGossip = now.Add(core.jitter(config.GossipInterval))
	core.nextRetry = now
	core.setMember(self, now)
	core.enqueueMember(self)
	return core
}

func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval) + 1))
}

// SetSeeds replaces the addresses that are tried while no member is known or
// after members were lost.
func (c *Core) SetSeeds(addresses []string) { c.seeds = addresses }

// SetRevision records the applied configuration revision that packets carry.
func (c *Core) SetRevision(revision int64) { c.revision = max(c.revision, revision) }

// Self returns the member itself.
func (c *Core) Self() Member { return c.self }

// Statistics returns the counters.
func (c *Core) Statistics() Statistics { return c.statistics }

// Members returns all live members, itself included, in name order.
func (c *Core) Members() []Member {
	c.refreshLive()
	members := make([]Member, 0, len(c.live)+1)
	position, _ := slices.BinarySearchFunc(c.live, c.self.Name, func(member Member, name string) int { return strings.Compare(member.Name, name) })
	members = append(members, c.live[:position]...)
	if c.self.Live() {
		members = append(members, c.self)
	}
	return append(members, c.live[position:]...)
}

// refreshLive rebuilds the lists of live members after a change.
func (c *Core) refreshLive() {
	if !c.liveStale {
		return
	}
	c.liveStale = false
	c.live, c.zoneLive, c.otherLive = c.live[:0], c.zoneLive[:0], c.otherLive[:0]
	for name, member := range c.members {
		if member.Live() && name != c.self.Name {
			c.live = append(c.live, member)
		}
	}
	sort.Slice(c.live, func(a, b int) bool { return c.live[a].Name < c.live[b].Name })
	for _, member := range c.live {
		if member.Zone == c.self.Zone {
			c.zoneLive = append(c.zoneLive, member)
		} else {
			c.otherLive = append(c.otherLive, member)
		}
	}
}

// Member returns what is known of a name.
func (c *Core) Member(name string) (Member, bool) {
	member, known := c.members[name]
	return member, known
}

// TakeEvents returns the events since the last call.
func (c *Core) TakeEvents() []Event {
	taken := c.events
	c.events = nil
	return taken
}

// setMember stores a member and keeps the digest and counts.
func (c *Core) setMember(member Member, now time.Time) {
	if old, known := c.members[member.Name]; known && old.Live() {
		c.digest ^= hashMember(old)
		c.countLive(old, -1)
	}
	c.members[member.Name] = member
	c.changedAt[member.Name] = now
	c.liveStale = true
	if member.Live() {
		c.digest ^= hashMember(member)
		c.countLive(member, 1)
	}
}

func (c *Core) countLive(member Member, change int) {
	c.liveCount += change
	if member.Zone == c.self.Zone {
		c.zoneCount += change
	}
}

// apply merges an update and passes it on if it was news.
func (c *Core) apply(update Member, now time.Time) {
	if update.Name == c.self.Name {
		c.refute(update, now)
		return
	}
	known, exists := c.members[update.Name]
	if exists && !update.supersedes(known) {
		return
	}
	c.setMember(update, now)
	delete(c.suspectEnd, update.Name)
	if update.State != StateSuspect {
		delete(c.accused, update.Name)
	}
	if update.State == StateSuspect {
		c.suspectEnd[update.Name] = now.Add(c.suspicionTimeout())
	}
	c.enqueueMember(update)
	if !exists || known.State != update.State || known.Incarnation != update.Incarnation {
		c.events = append(c.events, Event{Kind: EventMember, Member: update})
	}
}

// refute answers a claim about this member that is not true any more.
func (c *Core) refute(claim Member, now time.Time) {
	isNewer := claim.Incarnation > c.self.Incarnation
	isFalse := claim.Incarnation == c.self.Incarnation && claim.State != StateAlive
	if c.leaving || !(isNewer || isFalse) {
		return
	}
	c.self.Incarnation = claim.Incarnation + 1
	c.statistics.Refutations++
	c.setMember(c.self, now)
	c.enqueueMember(c.self)
}

func (c *Core) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(max(c.liveCount, 1))))
	return time.Duration(c.config.SuspicionFactor * scale * float64(c.config.ProbeInterval))
}

// Leave announces a graceful departure to several members at once.
func (c *Core) Leave(now time.Time) []Datagram {
	c.leaving = true
	c.self.State = StateLeft
	c.setMember(c.self, now)
	c.enqueueMember(c.self)
	out := []Datagram{}
	for _, peer := range c.randomMembers(leaveFanout, "") {
		out = append(out, c.send(peer.Address, c.packet(PacketGossip, 0), c.config.MaxPacketBytes, peer.Zone))
	}
	return out
}

const leaveFanout = 8

// Tick advances time: it starts probes, judges late ones and gossips. It must
// be called several times per gossip interval.
func (c *Core) Tick(now time.Time) []Datagram {
	c.notePause(now)
	out := c.judgeProbes(now)
	c.expireSuspects(now)
	c.expireRelays(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.config.ProbeInterval)
		out = append(out, c.startProbe(now)...)
		out = append(out, c.tellAccused()...)
	}
	if !now.Before(c.nextRetry) {
		c.nextRetry = now.Add(c.config.ReconnectInterval)
		out = append(out, c.reconnect(now)...)
		c.forget(now)
	}
	if !now.Before(c.nextGossip) {
		c.refill(now.Sub(c.nextGossip) + c.config.GossipInterval)
		c.nextGossip = now.Add(c.config.GossipInterval)
		out = append(out, c.gossip()...)
	}
	return out
}

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

// startProbe pings the next member of a shuffled ring.
func (c *Core) startProbe(now time.Time) []Datagram {
	target, found := c.nextTarget()
	if !found {
		return nil
	}
	c.sequence++
	stretch := time.Duration(c.healthLack + 1)
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

// reconnect pings one dead member and one seed that no live member accounts
// for, so that groups that lost each other, or never met, find together.
func (c *Core) reconnect(now time.Time) []Datagram {
	addresses := []string{}
	if dead, found := c.randomDead(); found {
		addresses = append(addresses, dead.Address)
	}
	if strangers := c.unknownSeeds(); len(strangers) > 0 {
		addresses = append(addresses, strangers[c.random.IntN(len(strangers))])
	}
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

// forget drops members that have been gone for longer than the retention.
func (c *Core) forget(now time.Time) {
	for name, member := range c.members {
		if !member.Live() && now.Sub(c.changedAt[name]) > c.config.Retention {
			delete(c.members, name)
			delete(c.changedAt, name)
			c.liveStale = true
		}
	}
	c.expireItems(now)
}

// Receive handles a packet and returns the answers.
func (c *Core) Receive(now time.Time, packet Packet) []Datagram {
	if c.leaving && packet.Kind != PacketPing {
		return nil
	}
	for _, update := range packet.Members {
		c.apply(update, now)
	}
	for _, item := range packet.Items {
		c.applyItem(item, now)
	}
	c.noteRevision(packet)
	switch packet.Kind {
	case PacketPing:
		return c.answerPing(now, packet)
	case PacketAck:
		return c.acceptAck(now, packet)
	case PacketPingRequest:
		return c.relayPing(now, packet)
	case PacketHint:
		for _, item := range packet.Items {
			c.events = append(c.events, Event{Kind: EventHint, Item: item, Address: packet.FromAddress})
		}
	}
	return nil
}

func (c *Core) noteRevision(packet Packet) {
	if packet.Revision > c.revision {
		c.events = append(c.events, Event{Kind: EventRevision, Address: packet.FromAddress, Revision: packet.Revision})
	}
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

// compareDigest asks for a full exchange when the lists differ, at most once
// per sync interval. A differing digest soon after a change is usual while the
// change spreads; the exchange then finds little to do.
func (c *Core) compareDigest(now time.Time, packet Packet) {
	sender, isKnown := c.members[packet.From]
	isSame := packet.Digest == int64(c.digest)
	if isKnown && sender.Zone == c.self.Zone {
		isSame = isSame && packet.ItemDigest == c.itemDigest(c.self.Zone)
	}
	if isSame || now.Before(c.nextSync) {
		return
	}
	c.nextSync = now.Add(c.config.SyncInterval + c.jitter(c.config.SyncInterval))
	c.events = append(c.events, Event{Kind: EventSync, Address: packet.FromAddress})
}

// randomMembers picks live members other than itself, each at most once.
func (c *Core) randomMembers(count int, except string) []Member {
	c.refreshLive()
	picked := []Member{}
	for _, index := range c.random.Perm(len(c.live)) {
		if len(picked) == count {
			break
		}
		if c.live[index].Name != except {
			picked = append(picked, c.live[index])
		}
	}
	return picked
}

// randomDead picks a member that is believed dead.
func (c *Core) randomDead() (Member, bool) {
	dead := []Member{}
	for _, member := range c.members {
		if member.State == StateDead {
			dead = append(dead, member)
		}
	}
	if len(dead) == 0 {
		return Member{}, false
	}
	sort.Slice(dead, func(a, b int) bool { return dead[a].Name < dead[b].Name })
	return dead[c.random.IntN(len(dead))], true
}
