package membership

import (
	"bytes"
	"math"
	"sort"
	"time"
)

// storedItem is an item with the time at which its newest version arrived.
type storedItem struct {
	item      Item
	refreshed time.Time
}

// queuedUpdate is an update that gossip still has to send.
type queuedUpdate struct {
	key      string
	isItem   bool
	member   Member
	item     Item
	priority Priority
	// transmits is how many times the update was sent; it is dropped at limit.
	transmits int
	limit     int
	// size is in bytes.
	size int
}

// Sizes on the wire in bytes, estimated for the gossip limit.
const (
	// IP and UDP headers; protocol version and authentication code.
	datagramOverhead  = 28 + 17
	packetHeaderBytes = 48
	memberFixedBytes  = 14
	itemFixedBytes    = 12
	// loadRetransmits is the maximum number of times that a member sends a load
	// item. The next refresh replaces a lost one.
	loadRetransmits = 2
	// durableTTLFactor times Config.ItemTTL is the time to live of durable items.
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
	c.queue[key] = &queuedUpdate{key: key, member: member, priority: priority, limit: c.retransmits(c.liveCount), size: memberSize(member)}
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
	c.queue[key] = &queuedUpdate{key: key, isItem: true, item: item, priority: item.Priority, limit: limit, size: itemSize(item)}
}

// retransmits returns how many times a member sends an update that is for the given
// number of members.
func (c *Core) retransmits(audience int) int {
	return int(math.Ceil(c.config.RetransmitFactor * math.Log10(float64(audience+1))))
}

// Publish stores an item with the next version of its key and gossips it. It
// emits EventItem, as every other member does on receipt.
func (c *Core) Publish(item Item, now time.Time) {
	item.Version = max(c.items[item.Key].item.Version+1, now.UnixMilli())
	c.applyItem(item, now)
}

// Item returns the newest item of a key.
func (c *Core) Item(key string) (Item, bool) {
	stored, known := c.items[key]
	return stored.item, known
}

// Items returns all items whose key accept returns true for, in key order.
func (c *Core) Items(accept func(key string) bool) []Item {
	chosen := []Item{}
	for key, stored := range c.items {
		if accept(key) {
			chosen = append(chosen, stored.item)
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Key < chosen[b].Key })
	return chosen
}

// supersedes reports whether the item replaces another of its key: by version, or
// by payload if two publishers chose the same version, so that all members agree.
func (i Item) supersedes(stored Item) bool {
	if i.Version != stored.Version {
		return i.Version > stored.Version
	}
	return bytes.Compare(i.Payload, stored.Payload) > 0
}

// applyItem stores an item and queues it for gossip if it is newer than the stored
// one. Items of other zones are ignored.
func (c *Core) applyItem(item Item, now time.Time) {
	if item.Zone != "" && item.Zone != c.self.Zone {
		return
	}
	stored, known := c.items[item.Key]
	if known && !item.supersedes(stored.item) {
		return
	}
	c.items[item.Key] = storedItem{item: item, refreshed: now}
	c.enqueueItem(item)
	c.events = append(c.events, Event{Kind: EventItem, Item: item})
}

func (c *Core) expireItems(now time.Time) {
	for key, stored := range c.items {
		if now.Sub(stored.refreshed) > c.itemTTL(stored.item) {
			delete(c.items, key)
			delete(c.queue, "item/"+key)
		}
	}
}

// itemTTL is how long an item is stored without a refresh. Durable items change and
// are refreshed seldom.
func (c *Core) itemTTL(item Item) time.Duration {
	if item.Priority == PriorityLoad {
		return c.config.ItemTTL
	}
	return c.config.ItemTTL * durableTTLFactor
}

// refill adds to the bytes that gossip may send, up to those of one second.
func (c *Core) refill(elapsed time.Duration) {
	c.allowance += c.config.BytesPerSecond * elapsed.Seconds()
	c.allowance = math.Min(c.allowance, c.config.BytesPerSecond)
}

// gossip sends queued updates to one member of the zone and, every other round,
// those that are not limited to a zone to one member of another zone.
func (c *Core) gossip() []Datagram {
	if len(c.queue) == 0 {
		return nil
	}
	c.gossipRound++
	c.refreshLive()
	out := c.gossipTo(c.zoneLive)
	if c.gossipRound%2 == 0 {
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

// Hint returns a datagram that carries one item directly to a member. The item
// is also stored and gossiped by the receiver.
func (c *Core) Hint(address string, item Item) Datagram {
	packet := c.packet(PacketHint, 0)
	packet.Items = []Item{item}
	return c.countSent(Datagram{Address: address, Packet: packet})
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

// send returns a datagram to an address. If maxBytes is positive, the packet is
// filled with the most urgent updates for the receiver's zone that fit.
func (c *Core) send(address string, packet Packet, maxBytes int, zone string) Datagram {
	if maxBytes > 0 && len(c.queue) > 0 {
		c.fill(&packet, maxBytes, zone)
	}
	return c.countSent(Datagram{Address: address, Packet: packet})
}

func (c *Core) countSent(datagram Datagram) Datagram {
	c.statistics.PacketsSent++
	c.statistics.BytesSent += uint64(packetSize(datagram.Packet))
	return datagram
}

// fill adds queued updates to a packet: by priority, then the least sent first.
func (c *Core) fill(packet *Packet, maxBytes int, zone string) {
	pending := make([]*queuedUpdate, 0, len(c.queue))
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
	remaining := maxBytes - packetHeaderBytes
	for _, update := range pending {
		if update.size > remaining {
			continue
		}
		remaining -= update.size
		c.appendUpdate(packet, update)
	}
}

// appendUpdate adds an update to a packet and drops it from the queue at its limit.
func (c *Core) appendUpdate(packet *Packet, update *queuedUpdate) {
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
