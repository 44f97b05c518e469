package membership

import (
	"bytes"
	"math"
	"sort"
	"time"
)

// heldItem is an item with the time it was last refreshed.
type heldItem struct {
	item      Item
	refreshed time.Time
}

// queued is an update that still has to be passed on.
type queued struct {
	key       string
	isItem    bool
	member    Member
	item      Item
	priority  Priority
	transmits int
	limit     int
	size      int
}

// Sizes on the wire, estimated for the byte budget.
const (
	datagramOverhead  = 28 + 17
	packetHeaderBytes = 48
	memberFixedBytes  = 14
	itemFixedBytes    = 12
	// loadRetransmits is how often one member passes a load item on; a lost
	// one is made good by the next refresh.
	loadRetransmits = 2
	// durableTTLFactor is how much longer than load items others live.
	durableTTLFactor = 20
)

func memberSize(member Member) int {
	return memberFixedBytes + len(member.Name) + len(member.Address) + len(member.HTTPAddress) + len(member.Zone) + len(member.Region)
}

func itemSize(item Item) int {
	return itemFixedBytes + len(item.Key) + len(item.Zone) + len(item.Payload)
}

func (c *Core) enqueueMember(member Member) {
	key := "member/" + member.Name
	priority := PriorityMember
	if member.State == StateLeft {
		priority = PriorityUrgent
	}
	c.queue[key] = &queued{key: key, member: member, priority: priority, limit: c.retransmits(c.liveCount), size: memberSize(member)}
}

func (c *Core) enqueueItem(item Item) {
	audience := c.liveCount
	if item.Zone != "" {
		audience = c.zoneCount
	}
	limit := c.retransmits(audience)
	if item.Priority == PriorityLoad {
		limit = min(limit, loadRetransmits)
	}
	key := "item/" + item.Key
	c.queue[key] = &queued{key: key, isItem: true, item: item, priority: item.Priority, limit: limit, size: itemSize(item)}
}

func (c *Core) retransmits(audience int) int {
	return int(math.Ceil(c.config.RetransmitFactor * math.Log10(float64(audience+1))))
}

// Publish stores an item under the next version of its key and spreads it. The
// publisher gets the event that every other member gets.
func (c *Core) Publish(item Item, now time.Time) {
	item.Version = max(c.items[item.Key].item.Version+1, now.UnixMilli())
	c.applyItem(item, now)
}

// Item returns the newest known item of a key.
func (c *Core) Item(key string) (Item, bool) {
	held, known := c.items[key]
	return held.item, known
}

// Items returns all items that accept chooses, in key order.
func (c *Core) Items(accept func(key string) bool) []Item {
	chosen := []Item{}
	for key, held := range c.items {
		if accept(key) {
			chosen = append(chosen, held.item)
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Key < chosen[b].Key })
	return chosen
}

// supersedes orders items by version; two publishers that chose the same
// version are ordered by payload, so that all members agree.
func (i Item) supersedes(held Item) bool {
	if i.Version != held.Version {
		return i.Version > held.Version
	}
	return bytes.Compare(i.Payload, held.Payload) > 0
}

func (c *Core) applyItem(item Item, now time.Time) {
	if item.Zone != "" && item.Zone != c.self.Zone {
		return
	}
	held, known := c.items[item.Key]
	if known && !item.supersedes(held.item) {
		return
	}
	c.items[item.Key] = heldItem{item: item, refreshed: now}
	c.enqueueItem(item)
	c.events = append(c.events, Event{Kind: EventItem, Item: item})
}

func (c *Core) expireItems(now time.Time) {
	for key, held := range c.items {
		if now.Sub(held.refreshed) > c.itemTTL(held.item) {
			delete(c.items, key)
			delete(c.queue, "item/"+key)
		}
	}
}

// itemTTL is long for items that change seldom and are refreshed seldom.
func (c *Core) itemTTL(item Item) time.Duration {
	if item.Priority == PriorityLoad {
		return c.config.ItemTTL
	}
	return c.config.ItemTTL * durableTTLFactor
}

func (c *Core) refill(elapsed time.Duration) {
	c.allowance += c.config.BytesPerSecond * elapsed.Seconds()
	c.allowance = math.Min(c.allowance, c.config.BytesPerSecond)
}

// gossip sends pending updates to one member of the zone and, every other
// round, those for everyone to one member of another zone.
func (c *Core) gossip() []Datagram {
	if len(c.queue) == 0 {
		return nil
	}
	c.gossipTurn++
	c.refreshLive()
	out := c.gossipTo(c.zoneLive)
	if c.gossipTurn%2 == 0 {
		out = append(out, c.gossipTo(c.otherLive)...)
	}
	return out
}

func (c *Core) gossipTo(audience []Member) []Datagram {
	if len(audience) == 0 || c.allowance < float64(c.config.MaxPacketBytes)/4 {
		return nil
	}
	peer := audience[c.random.IntN(len(audience))]
	datagram := c.send(peer.Address, c.packet(PacketGossip, 0), c.config.MaxPacketBytes, peer.Zone)
	if len(datagram.Packet.Members) == 0 && len(datagram.Packet.Items) == 0 {
		return nil
	}
	c.allowance -= float64(packetSize(datagram.Packet))
	return []Datagram{datagram}
}

// Hint makes a datagram that carries one item directly to a member, outside
// gossip.
func (c *Core) Hint(address string, item Item) Datagram {
	packet := c.packet(PacketHint, 0)
	packet.Items = []Item{item}
	return c.count(Datagram{Address: address, Packet: packet})
}

func (c *Core) packet(kind PacketKind, sequence int64) Packet {
	packet := Packet{
		Kind: kind, From: c.self.Name, FromAddress: c.self.Address,
		Sequence: sequence, Revision: c.revision, Digest: int64(c.digest),
	}
	if kind == PacketPing || kind == PacketAck {
		packet.ItemDigest = c.itemDigest(c.self.Zone)
	}
	return packet
}

// send fills a packet with the most urgent updates that fit the bound and
// that concern the receiver's zone.
func (c *Core) send(address string, packet Packet, bound int, zone string) Datagram {
	if bound > 0 && len(c.queue) > 0 {
		c.fill(&packet, bound, zone)
	}
	return c.count(Datagram{Address: address, Packet: packet})
}

func (c *Core) count(datagram Datagram) Datagram {
	c.statistics.PacketsSent++
	c.statistics.BytesSent += uint64(packetSize(datagram.Packet))
	return datagram
}

func (c *Core) fill(packet *Packet, bound int, zone string) {
	pending := make([]*queued, 0, len(c.queue))
	for _, update := range c.queue {
		if !update.isItem || update.item.Zone == "" || update.item.Zone == zone {
			pending = append(pending, update)
		}
	}
	sort.Slice(pending, func(a, b int) bool {
		if pending[a].priority != pending[b].priority {
			return pending[a].priority < pending[b].priority
		}
		if pending[a].transmits != pending[b].transmits {
			return pending[a].transmits < pending[b].transmits
		}
		return pending[a].key < pending[b].key
	})
	room := bound - packetHeaderBytes
	for _, update := range pending {
		if update.size > room {
			continue
		}
		room -= update.size
		c.take(packet, update)
	}
}

func (c *Core) take(packet *Packet, update *queued) {
	if update.isItem {
		packet.Items = append(packet.Items, update.item)
	} else {
		packet.Members = append(packet.Members, update.member)
	}
	update.transmits++
	if update.transmits >= update.limit {
		delete(c.queue, update.key)
	}
}

// packetSize estimates a packet's bytes on the wire, headers included.
func packetSize(packet Packet) int {
	size := datagramOverhead + packetHeaderBytes + len(packet.Target) + len(packet.TargetAddress)
	for _, member := range packet.Members {
		size += memberSize(member)
	}
	for _, item := range packet.Items {
		size += itemSize(item)
	}
	return size
}
