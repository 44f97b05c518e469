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
// concurrent use; cluster.Node serializes access.
type Core struct {
	config    Config
	self      Member
	random    *rand.Rand
	isLeaving bool

	members   map[string]Member
	changedAt map[string]time.Time
	// suspectEnd is when a suspect is declared dead.
	suspectEnd map[string]time.Time
	// ownSuspects holds the suspects whose suspicion this member raised. Each is
	// notified directly until it refutes the suspicion or is declared dead.
	ownSuspects map[string]bool
	// digest is the XOR of hashMember over the live members.
	digest uint64
	// liveCount and zoneCount are the live members, this one included: all, and
	// those of its zone.
	liveCount int
	zoneCount int
	// live, zoneLive and otherLive are the live members other than this one, in
	// name order: all, those of its zone, and those of other zones. They are
	// rebuilt on the next use after isLiveStale is set.
	live, zoneLive, otherLive []Member
	isLiveStale               bool
	// generation is incremented by each change of a member.
	generation uint64

	// ring is the shuffled order in which live members are probed.
	ring          []string
	ringIndex     int
	sequence      int64
	probes        map[int64]*probe
	relays        map[int64]relay
	nextProbe     time.Time
	nextGossip    time.Time
	nextReconnect time.Time
	nextSync      time.Time
	lastTick      time.Time
	startedAt     time.Time
	gossipRound   int
	// healthScore rises with each of this member's probes that gets no answer and
	// falls with each answer. It lengthens the probe timeouts.
	healthScore int

	items map[string]storedItem
	queue map[string]*queuedUpdate
	// allowance is how many bytes gossip may send now.
	allowance float64
	revision  int64
	events    []Event
	seeds     []string

	statistics Statistics
}

// Statistics holds counters since the start.
type Statistics struct {
	Suspicions  uint64
	Refutations uint64
	Deaths      uint64
	Pauses      uint64
	PacketsSent uint64
	BytesSent   uint64
}

// probe is a ping whose answer is outstanding.
type probe struct {
	target string
	// indirectAt is when indirect probes are sent; isIndirect is set then.
	indirectAt time.Time
	deadline   time.Time
	isIndirect bool
	// isReconnect marks a ping to a dead member or a seed. Its timeout raises
	// no suspicion.
	isReconnect bool
}

// relay is a ping sent on behalf of another member, to which the answer is forwarded.
type relay struct {
	requester string
	sequence  int64
	deadline  time.Time
}

// maxHealthScore limits Core.healthScore.
const maxHealthScore = 4

// New returns a core whose only member is self. self.Incarnation should be higher than at
// any earlier start under the same name. If it is not, it rises once another member
// reports an earlier process.
func New(config Config, self Member, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		config: config, self: self, random: random,
		members:     map[string]Member{},
		changedAt:   map[string]time.Time{},
		suspectEnd:  map[string]time.Time{},
		ownSuspects: map[string]bool{},
		probes:      map[int64]*probe{},
		relays:      map[int64]relay{},
		items:       map[string]storedItem{},
		queue:       map[string]*queuedUpdate{},
		lastTick:    now,
		startedAt:   now,
	}
	core.nextProbe = now.Add(core.jitter(config.ProbeInterval))
	core.nextGossip = now.Add(core.jitter(config.GossipInterval))
	core.nextReconnect = now
	core.setMember(self, now)
	core.enqueueMember(self)
	return core
}

// jitter returns a random duration from 0 to interval.
func (c *Core) jitter(interval time.Duration) time.Duration {
	return time.Duration(c.random.Int64N(int64(interval) + 1))
}

// SetSeeds replaces the addresses that are pinged to join the fleet, or to find
// members that were lost.
func (c *Core) SetSeeds(addresses []string) { c.seeds = addresses }

// SetRevision sets the applied configuration revision that packets carry. A
// lower revision is ignored.
func (c *Core) SetRevision(revision int64) { c.revision = max(c.revision, revision) }

// Self returns this daemon's member.
func (c *Core) Self() Member { return c.self }

func (c *Core) Statistics() Statistics { return c.statistics }

// Members returns all live members, this one included, in name order.
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

// NamesWithLost returns the names of the live members, this one included, and of those that were
// lost less than lostFor ago: they may be partitioned and still be working.
func (c *Core) NamesWithLost(lostFor time.Duration, now time.Time) []string {
	names := make([]string, 0, len(c.members)+1)
	for _, member := range c.Members() {
		names = append(names, member.Name)
	}
	for _, member := range c.Lost(lostFor, now) {
		names = append(names, member.Name)
	}
	return names
}

// Lost returns the members that were lost less than lostFor ago, as this member knows since then.
func (c *Core) Lost(lostFor time.Duration, now time.Time) []Member {
	lost := []Member{}
	for name, member := range c.members {
		if member.State == StateDead && now.Sub(c.changedAt[name]) < lostFor {
			lost = append(lost, member)
		}
	}
	return lost
}

// HasGone reports whether a member was lost or left less than window ago.
func (c *Core) HasGone(window time.Duration, now time.Time) bool {
	for name, member := range c.members {
		if !member.Live() && now.Sub(c.changedAt[name]) < window {
			return true
		}
	}
	return false
}

// Count returns the number of live members, this one included.
func (c *Core) Count() int {
	c.refreshLive()
	if c.self.Live() {
		return len(c.live) + 1
	}
	return len(c.live)
}

// refreshLive rebuilds the lists of live members if a member changed.
func (c *Core) refreshLive() {
	if !c.isLiveStale {
		return
	}
	c.isLiveStale = false
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

// Generation returns a number that each change of a member increments. It is never 0.
func (c *Core) Generation() uint64 { return c.generation }

// Member returns the member with a name, live or not.
func (c *Core) Member(name string) (Member, bool) {
	member, known := c.members[name]
	return member, known
}

// TakeEvents returns and clears the events since the last call.
func (c *Core) TakeEvents() []Event {
	taken := c.events
	c.events = nil
	return taken
}

// setMember stores a member and updates the digest and the counts.
func (c *Core) setMember(member Member, now time.Time) {
	if old, known := c.members[member.Name]; known && old.Live() {
		c.digest ^= hashMember(old)
		c.countLive(old, -1)
	}
	c.members[member.Name] = member
	c.changedAt[member.Name] = now
	c.isLiveStale = true
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

// apply merges an update and queues it for gossip if it changed the member.
func (c *Core) apply(update Member, now time.Time) {
	if c.merge(update, now) {
		c.enqueueMember(update)
	}
}

// merge merges an update and reports whether it changed the member.
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
		delete(c.ownSuspects, update.Name)
	}
	if update.State == StateSuspect {
		c.suspectEnd[update.Name] = now.Add(c.suspicionTimeout())
	}
	if !exists || known.State != update.State || known.Incarnation != update.Incarnation {
		c.events = append(c.events, Event{Kind: EventMember, Member: update})
	}
	return true
}

// refute overrides an update about this member that is wrong, by a higher incarnation. An
// update of a newer incarnation is about an earlier process of this name, whose clock was
// ahead of this one's; the incarnation then rises by processStep. An update of the current
// incarnation with a state other than alive is a suspicion of this process.
func (c *Core) refute(claim Member, now time.Time) {
	isEarlierProcess := claim.Incarnation > c.self.Incarnation
	isWrongState := claim.Incarnation == c.self.Incarnation && claim.State != StateAlive
	switch {
	case c.isLeaving || !(isEarlierProcess || isWrongState):
		return
	case isEarlierProcess:
		c.self.Incarnation = claim.Incarnation + processStep
	default:
		c.self.Incarnation++
	}
	c.statistics.Refutations++
	c.setMember(c.self, now)
	c.enqueueMember(c.self)
}

// suspicionTimeout returns the time in which a suspect may refute. It grows with the
// logarithm of the fleet's size.
func (c *Core) suspicionTimeout() time.Duration {
	scale := math.Max(1, math.Log10(float64(max(c.liveCount, 1))))
	return time.Duration(c.config.SuspicionFactor * scale * float64(c.config.ProbeInterval))
}

// Leave returns datagrams that announce a graceful departure to leaveFanout
// random members.
func (c *Core) Leave(now time.Time) []Datagram {
	c.isLeaving = true
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

// Tick advances the time: it starts probes, handles probes and suspicions whose
// deadline has passed, and gossips. It must be called several times per gossip
// interval.
func (c *Core) Tick(now time.Time) []Datagram {
	c.compensatePause(now)
	out := c.checkProbes(now)
	c.expireSuspects(now)
	c.expireRelays(now)
	if !now.Before(c.nextProbe) {
		c.nextProbe = now.Add(c.config.ProbeInterval)
		out = append(out, c.startProbe(now)...)
		out = append(out, c.notifySuspects()...)
	}
	if !now.Before(c.nextReconnect) {
		c.nextReconnect = now.Add(c.reconnectInterval(now))
		out = append(out, c.reconnect(now)...)
		c.dropExpired(now)
	}
	if !now.Before(c.nextGossip) {
		c.refill(now.Sub(c.nextGossip) + c.config.GossipInterval)
		c.nextGossip = now.Add(c.config.GossipInterval)
		out = append(out, c.gossip()...)
	}
	return out
}

// dropExpired removes members that have been dead for longer than the retention, and
// expired items.
func (c *Core) dropExpired(now time.Time) {
	for name, member := range c.members {
		if !member.Live() && now.Sub(c.changedAt[name]) > c.config.Retention {
			delete(c.members, name)
			delete(c.changedAt, name)
			c.isLiveStale = true
			c.generation++
		}
	}
	c.expireItems(now)
}

// Receive handles a packet and returns the datagrams to send in answer.
func (c *Core) Receive(now time.Time, packet Packet) []Datagram {
	if c.isLeaving && packet.Kind != PacketPing {
		return nil
	}
	for _, update := range packet.Members {
		c.apply(update, now)
	}
	for _, item := range packet.Items {
		c.applyItem(item, now)
	}
	c.compareRevision(packet)
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

// compareRevision emits an event if the sender applied a higher revision.
func (c *Core) compareRevision(packet Packet) {
	if packet.Revision > c.revision {
		c.events = append(c.events, Event{Kind: EventRevision, Address: packet.FromAddress, Revision: packet.Revision})
	}
}

// compareDigest requests a full exchange if the sender's digests differ from this
// member's, at most once per sync interval. Digests also differ while a change
// spreads by gossip; such an exchange transfers little data.
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

// isStarting reports whether this member started less than startupProbes probe
// intervals ago.
func (c *Core) isStarting(now time.Time) bool {
	return now.Sub(c.startedAt) < startupProbes*c.config.ProbeInterval
}

// isJoining reports whether this member has just started and knows no other live member.
func (c *Core) isJoining(now time.Time) bool { return c.liveCount <= 1 && c.isStarting(now) }

// reconnectInterval is the time between two rounds of pings to seeds and dead
// members. It is shorter while this member joins.
func (c *Core) reconnectInterval(now time.Time) time.Duration {
	if c.isJoining(now) {
		return c.config.ProbeInterval / joinRoundsPerProbe
	}
	return c.config.ReconnectInterval
}

const (
	// joinRoundsPerProbe is the number of rounds per probe interval in which a joining
	// member pings seeds.
	joinRoundsPerProbe = 5
	// joinSeeds is the number of seeds pinged in each of these rounds.
	joinSeeds = 3
)

// syncInterval is the least time between two full exchanges. It is shorter after
// the start, so that a fleet whose members all start at once converges within
// seconds.
func (c *Core) syncInterval(now time.Time) time.Duration {
	if c.isStarting(now) {
		return c.config.ProbeInterval / 2
	}
	return c.config.SyncInterval
}

// startupProbes is the length of the startup phase in probe intervals.
const startupProbes = 16

// randomMembers picks up to count distinct live members other than this one and
// except.
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

// randomDead picks a member in the state dead.
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
