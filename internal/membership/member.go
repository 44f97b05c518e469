// Package membership keeps the list of live daemons by the SWIM protocol
// (probe, indirect probe, suspicion with incarnations, graceful leave) and
// spreads small versioned items by gossip within a bound of bytes a second.
//
// Core is pure: it has no sockets, clock or goroutines. The caller passes the
// time, sends the datagrams that Core returns and performs the full
// exchanges that Core asks for. Nothing in the system's safety rests on it.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is a member's state as another member sees it.
type State uint8

// The states. At one incarnation, a higher state supersedes a lower one.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
	StateLeft
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case StateAlive:
		return "alive"
	case StateSuspect:
		return "suspect"
	case StateDead:
		return "dead"
	}
	return "left"
}

// Member is one daemon.
type Member struct {
	Name        string
	Address     string
	HTTPAddress string
	Zone        string
	Region      string
	// Incarnation rises when a member restarts or refutes a suspicion.
	Incarnation int64
	State       State
}

// Live reports whether the member takes part: alive or merely suspected.
func (m Member) Live() bool { return m.State == StateAlive || m.State == StateSuspect }

// supersedes reports whether an update replaces what is known.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// Priority orders what gossip spreads first.
type Priority uint8

// The priorities, the most urgent first.
const (
	PriorityUrgent Priority = iota
	PriorityMember
	PriorityState
	PriorityLoad
)

// Item is a small versioned value that gossip spreads. The highest version of
// a key wins.
type Item struct {
	Key     string
	Version int64
	// Zone limits the item to the members of one zone; empty means everywhere.
	Zone     string
	Priority Priority
	Payload  []byte
}

// PacketKind is the kind of a datagram.
type PacketKind uint8

// The kinds of datagram.
const (
	PacketPing PacketKind = iota
	PacketAck
	PacketPingRequest
	PacketGossip
	PacketHint
)

// Packet is one datagram between daemons.
type Packet struct {
	Kind PacketKind
	From string
	// FromAddress is where to answer.
	FromAddress string
	Sequence    int64
	// Target names who must answer a ping; a reused address does not.
	Target        string
	TargetAddress string
	// Revision is the highest configuration revision that the sender applied.
	Revision int64
	// Digest summarizes the sender's list of live members.
	Digest int64
	// ItemDigest summarizes the durable items that the sender holds for its
	// zone; only members of that zone compare it.
	ItemDigest int64
	Members    []Member
	Items      []Item
}

// Datagram is a packet with its destination.
type Datagram struct {
	Address string
	Packet  Packet
}

// EventKind is the kind of an event.
type EventKind uint8

// The kinds of event.
const (
	// EventMember tells that a member's state changed.
	EventMember EventKind = iota
	// EventItem tells that an item's version rose.
	EventItem
	// EventSync asks for a full exchange with the member at Address.
	EventSync
	// EventRevision tells that the member at Address has a higher revision.
	EventRevision
	// EventHint delivers a direct hint.
	EventHint
)

// Event is something that the daemon must react to.
type Event struct {
	Kind     EventKind
	Member   Member
	Item     Item
	Address  string
	Revision int64
}

// Config holds the protocol's parameters.
type Config struct {
	// ProbeInterval is the time between two probes by one member.
	ProbeInterval time.Duration
	// ProbeTimeout is the wait for a direct answer before indirect probes.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe on one's behalf.
	IndirectProbes int
	// SuspicionFactor times log10 of the group's size, at least 1, is the
	// number of probe intervals that a suspect has to refute.
	SuspicionFactor float64
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// BytesPerSecond bounds what gossip sends; probes come on top.
	BytesPerSecond float64
	// MaxPacketBytes bounds one datagram.
	MaxPacketBytes int
	// PiggybackBytes bounds the updates carried by a probe or its answer.
	PiggybackBytes int
	// RetransmitFactor times log10 of the audience's size is how often a
	// member passes an update on.
	RetransmitFactor float64
	// SyncInterval is the least time between two full exchanges that one
	// member starts.
	SyncInterval time.Duration
	// ReconnectInterval is the time between two probes of dead members.
	ReconnectInterval time.Duration
	// Retention is how long dead members are remembered.
	Retention time.Duration
	// ItemTTL removes items that are not refreshed.
	ItemTTL time.Duration
}

// DefaultConfig returns parameters for a probe interval.
func DefaultConfig(probeInterval time.Duration) Config {
	return Config{
		ProbeInterval:     probeInterval,
		ProbeTimeout:      probeInterval * 2 / 5,
		IndirectProbes:    3,
		SuspicionFactor:   4,
		GossipInterval:    min(probeInterval/5, 200*time.Millisecond),
		BytesPerSecond:    2000,
		MaxPacketBytes:    1200,
		PiggybackBytes:    300,
		RetransmitFactor:  4,
		SyncInterval:      5 * probeInterval,
		ReconnectInterval: 2 * probeInterval,
		Retention:         time.Hour,
		ItemTTL:           30 * probeInterval,
	}
}

// hashMember mixes a member's identity, incarnation and state into a digest.
// Digests are XORs of these, so every input must change the whole value: with a
// weaker mix, two members that changed in the same way cancel each other out.
func hashMember(member Member) uint64 {
	return mix(xxhash.Sum64String(member.Name) + uint64(member.Incarnation)*mixIncarnation + uint64(member.State)*mixState)
}

const (
	mixIncarnation = 0x9e3779b97f4a7c15
	mixState       = 0xd6e8feb86659fd93
)

// mix is the finalizer of a 64-bit hash.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
