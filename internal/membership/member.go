// Package membership maintains the list of live daemons with the SWIM protocol
// (probe, indirect probe, suspicion with incarnations, graceful leave) and
// gossips small versioned items within a limit of bytes per second.
//
// Core has no sockets, clock or goroutines. The caller passes the time, sends
// the datagrams that Core returns and performs the full exchanges that Core
// requests by EventSync. The list is eventually consistent: correctness must not
// depend on it.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is a member's state in the list of another member.
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
	// Incarnation is raised when a member restarts or refutes a suspicion.
	Incarnation int64
	State       State
}

const (
	// refutationRange is by how much refuted suspicions may raise the incarnation of one
	// process. Each adds one.
	refutationRange = 200
	// processStep is added to the incarnation of an earlier process of the same name. It
	// exceeds refutationRange, so that other members can distinguish the two.
	processStep = 5 * refutationRange
)

// IsLaterProcess reports whether a member's incarnation is certainly that of a later process
// than the one that had an earlier incarnation. If it returns false, both may be of one
// process, or of two that started at nearly the same time of day.
func IsLaterProcess(incarnation, earlier int64) bool { return incarnation > earlier+refutationRange }

// Live reports whether the member is alive or suspected.
func (m Member) Live() bool { return m.State == StateAlive || m.State == StateSuspect }

// supersedes reports whether an update replaces the known state.
func (m Member) supersedes(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// Priority orders updates in gossip.
type Priority uint8

// The priorities, the most urgent first. PriorityLoad marks items that are
// republished often; items of the other priorities are durable.
const (
	PriorityUrgent Priority = iota
	PriorityMember
	PriorityState
	PriorityLoad
)

// Item is a small versioned value that gossip distributes. The highest version of
// a key wins.
type Item struct {
	Key     string
	Version int64
	// Zone limits the item to the members of one zone; empty means all zones.
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
	// FromAddress is the address for answers.
	FromAddress string
	// Sequence matches an acknowledgement to its ping.
	Sequence int64
	// Target is the name of the member that a ping is for. Another member that
	// reuses its address ignores the ping.
	Target        string
	TargetAddress string
	// Revision is the highest configuration revision that the sender applied.
	Revision int64
	// Digest summarizes the sender's list of live members.
	Digest int64
	// ItemDigest summarizes the durable items that the sender stores for its
	// zone. Only members of that zone compare it.
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
	// EventMember reports that a member's state changed.
	EventMember EventKind = iota
	// EventItem reports a new version of an item.
	EventItem
	// EventSync requests a full exchange with the member at Address.
	EventSync
	// EventRevision reports that the member at Address has a higher revision.
	EventRevision
	// EventHint delivers an item that was sent directly with Hint.
	EventHint
)

// Event is a change or request that the daemon has to handle.
type Event struct {
	Kind     EventKind
	Member   Member
	Item     Item
	Address  string
	Revision int64
}

// Config holds the protocol's parameters.
type Config struct {
	// ProbeInterval is the time between two probes that one member starts.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a direct answer may take before indirect probes
	// are sent.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members that send an indirect probe.
	IndirectProbes int
	// SuspicionFactor times max(1, log10(live members)) is the number of probe
	// intervals in which a suspect may refute the suspicion.
	SuspicionFactor float64
	// GossipInterval is the time between two gossip rounds.
	GossipInterval time.Duration
	// BytesPerSecond limits gossip. Probes are not counted.
	BytesPerSecond float64
	// MaxPacketBytes limits one datagram.
	MaxPacketBytes int
	// PiggybackBytes limits the size of a probe or an answer to one, including the
	// updates that it carries.
	PiggybackBytes int
	// RetransmitFactor times log10(members in the audience + 1) is how many times
	// a member sends an update.
	RetransmitFactor float64
	// SyncInterval is the least time between two full exchanges that one
	// member starts.
	SyncInterval time.Duration
	// ReconnectInterval is the time between two probes of dead members.
	ReconnectInterval time.Duration
	// Retention is how long dead members stay in the list.
	Retention time.Duration
	// ItemTTL is how long a load item is stored without a refresh. Durable items
	// are stored durableTTLFactor times as long.
	ItemTTL time.Duration
}

// DefaultConfig returns the default parameters for a probe interval.
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

// hashMember hashes a member's name, incarnation and state. Digests are XORs of
// these hashes, so each input has to change all bits: with a weak hash, the same
// change of two members could cancel out.
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
