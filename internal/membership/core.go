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
	// generation rises with each change of a member.
	generation uint64

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
	startedAt  time.Time
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
		startedAt:  now,
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

// Count returns how many members are live, itself included.
func (c *Core) Count() int {
	c.refreshLive()
	if c.self.Live() {
		return len(c.live) + 1
	}
	return len(c.live)
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

// Generation rises with each change of a member. It is never 0.
func (c *Core) Generation() uint64 { return c.generation }

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
	c.generation++
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
	if c.merge(update, now) {
		c.enqueueMember(update)
	}
}

// merge takes an update over and reports whether it was news.
func (c *Core) merge(update Member, now time.Time) bool {
	if update.Name == c.self.Name {
		c.refute(update, now)
		return false
	}
	known, exists := c.members[update.Name]
	if exists && !update.supersedes(known) {
		return false
	}
	c.setMember(update, now)
	delete(c.suspectEnd, update.Name)
	if update.State != StateSuspect {
		delete(c.accused, update.Name)
	}
	if update.State == StateSuspect {
		c.suspectEnd[update.Name] = now.Add(c.suspicionTimeout())
	}
	if !exists || known.State != update.State || known.Incarnation != update.Incarnation {
		c.events = append(c.events, Event{Kind: EventMember, Member: update})
	}
	return true
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
		c.nextRetry = now.Add(c.reconnectInterval(now))
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

// forget drops members that have been gone for longer than the retention.
func (c *Core) forget(now time.Time) {
	for name, member := range c.members {
		if !member.Live() && now.Sub(c.changedAt[name]) > c.config.Retention {
			delete(c.members, name)
			delete(c.changedAt, name)
			c.liveStale = true
			c.generation++
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
	interval := c.syncInterval(now)
	c.nextSync = now.Add(interval + c.jitter(interval))
	c.events = append(c.events, Event{Kind: EventSync, Address: packet.FromAddress})
}

// isYoung reports whether the member is in the first moments of its life.
func (c *Core) isYoung(now time.Time) bool {
	return now.Sub(c.startedAt) < youthProbes*c.config.ProbeInterval
}

// isJoining reports whether the member has just started and has found nobody yet.
func (c *Core) isJoining(now time.Time) bool { return c.liveCount <= 1 && c.isYoung(now) }

// reconnectInterval is short while the member joins: it is of little use to
// others, and they to it, before they know of each other.
func (c *Core) reconnectInterval(now time.Time) time.Duration {
	if c.isJoining(now) {
		return c.config.ProbeInterval / joinsPerProbe
	}
	return c.config.ReconnectInterval
}

const (
	// joinsPerProbe is how often a member that joins pings seeds within a probe
	// interval, and joinSeeds how many each time.
	joinsPerProbe = 5
	joinSeeds     = 3
)

// syncInterval is short in the first moments of a member's life: a fleet whose
// members all start at once should know itself within seconds.
func (c *Core) syncInterval(now time.Time) time.Duration {
	if c.isYoung(now) {
		return c.config.ProbeInterval / 2
	}
	return c.config.SyncInterval
}

// youthProbes is how many probe intervals the first moments last.
const youthProbes = 16

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
