// Package cluster runs the membership core of one daemon: it ticks it, carries
// its datagrams and full exchanges, and tells subscribers what changed.
package cluster

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
)

// Methods of the peer protocol that Node answers.
const (
	MethodSync = "membership.sync"
	MethodPush = "membership.push"
)

const (
	ticksPerGossip = 2
	syncTimeout    = 3 * time.Second
)

// Subscriber receives events. It is called without locks held, from one
// goroutine at a time, and must not block for long.
type Subscriber func(membership.Event)

// Node is the membership of one daemon. mutex guards core.
type Node struct {
	mutex       sync.Mutex
	core        *membership.Core
	config      membership.Config
	transport   *peer.Transport
	log         *slog.Logger
	subscribers []Subscriber
	events      chan []membership.Event
}

const eventQueueLength = 1024

// NewNode makes the membership of a daemon over a transport that is not yet
// started.
func NewNode(config membership.Config, self membership.Member, transport *peer.Transport, log *slog.Logger) *Node {
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	node := &Node{
		core:      membership.New(config, self, source, time.Now()),
		config:    config,
		transport: transport,
		log:       log,
		events:    make(chan []membership.Event, eventQueueLength),
	}
	transport.OnPacket(node.receive)
	peer.Handle(transport, MethodSync, node.answerSync)
	peer.Handle(transport, MethodPush, node.acceptPush)
	return node
}

// Subscribe adds a subscriber. It must be called before Run.
func (n *Node) Subscribe(subscriber Subscriber) { n.subscribers = append(n.subscribers, subscriber) }

// Run ticks the core until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.dispatch(ctx)
	periodic.Run(ctx, n.config.GossipInterval/ticksPerGossip, func() {
		n.with(func(core *membership.Core) []membership.Datagram { return core.Tick(time.Now()) })
	})
}

// with runs a step of the core, sends what it returns and queues its events.
func (n *Node) with(step func(core *membership.Core) []membership.Datagram) {
	n.mutex.Lock()
	datagrams := step(n.core)
	events := n.core.TakeEvents()
	n.mutex.Unlock()
	for _, datagram := range datagrams {
		n.transport.SendDatagram(datagram)
	}
	if len(events) == 0 {
		return
	}
	select {
	case n.events <- events:
	default:
		n.log.Warn("membership_events_dropped", "count", len(events))
	}
}

func (n *Node) receive(packet membership.Packet) {
	n.with(func(core *membership.Core) []membership.Datagram { return core.Receive(time.Now(), packet) })
}

func (n *Node) dispatch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case events := <-n.events:
			n.logMembers(events)
			for _, event := range events {
				n.dispatchOne(ctx, event)
			}
		}
	}
}

func (n *Node) dispatchOne(ctx context.Context, event membership.Event) {
	if event.Kind == membership.EventSync {
		go n.sync(ctx, event.Address)
	}
	for _, subscriber := range n.subscribers {
		subscriber(event)
	}
}

// memberLines is how many members of one exchange have a line each. Of more, as at the start
// of a large fleet, one line tells the numbers.
const memberLines = 16

// logMembers logs what changed about members.
func (n *Node) logMembers(events []membership.Event) {
	changed := []membership.Member{}
	for _, event := range events {
		if event.Kind == membership.EventMember {
			changed = append(changed, event.Member)
		}
	}
	if len(changed) <= memberLines {
		for _, member := range changed {
			n.log.Info("member_changed", "member", member.Name, "zone", member.Zone, "state", member.State.String(), "incarnation", member.Incarnation)
		}
		return
	}
	count := map[membership.State]int{}
	for _, member := range changed {
		count[member.State]++
	}
	n.log.Info("members_changed", "count", len(changed), "alive", count[membership.StateAlive], "suspect", count[membership.StateSuspect],
		"dead", count[membership.StateDead], "left", count[membership.StateLeft], "members", n.Count())
}

func (n *Node) sync(ctx context.Context, address string) {
	bounded, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	n.mutex.Lock()
	request := n.core.StartSync()
	n.mutex.Unlock()
	answer, err := peer.Call[peer.SyncRequestMessage, peer.SyncAnswerMessage](bounded, n.transport, address, MethodSync, peer.SyncRequestMessage{SyncRequest: request})
	if err != nil {
		n.log.Debug("membership_sync_failed", "peer", address, "error", err)
		return
	}
	var push membership.SyncPush
	n.with(func(core *membership.Core) []membership.Datagram {
		push = core.FinishSync(answer.SyncAnswer, time.Now())
		return nil
	})
	if len(push.Members) == 0 {
		return
	}
	_, err = peer.Call[peer.SyncPushMessage, peer.Empty](bounded, n.transport, address, MethodPush, peer.SyncPushMessage{SyncPush: push})
	if err != nil {
		n.log.Debug("membership_push_failed", "peer", address, "error", err)
	}
}

func (n *Node) answerSync(_ context.Context, _ string, request peer.SyncRequestMessage) (peer.SyncAnswerMessage, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return peer.SyncAnswerMessage{SyncAnswer: n.core.AnswerSync(request.SyncRequest)}, nil
}

func (n *Node) acceptPush(_ context.Context, _ string, push peer.SyncPushMessage) (peer.Empty, error) {
	n.with(func(core *membership.Core) []membership.Datagram {
		core.AcceptPush(push.SyncPush, time.Now())
		return nil
	})
	return peer.Empty{}, nil
}

// Publish spreads an item.
func (n *Node) Publish(item membership.Item) {
	n.with(func(core *membership.Core) []membership.Datagram {
		core.Publish(item, time.Now())
		return nil
	})
}

// Hint sends one item directly to the member with the name.
func (n *Node) Hint(name string, item membership.Item) {
	n.with(func(core *membership.Core) []membership.Datagram {
		member, known := core.Member(name)
		if !known || !member.Live() {
			return nil
		}
		return []membership.Datagram{core.Hint(member.Address, item)}
	})
}

// Leave announces a graceful departure.
func (n *Node) Leave() {
	n.with(func(core *membership.Core) []membership.Datagram { return core.Leave(time.Now()) })
}

// SetSeeds replaces the addresses tried for joining.
func (n *Node) SetSeeds(addresses []string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.core.SetSeeds(addresses)
}

// SetRevision records the applied configuration revision.
func (n *Node) SetRevision(revision int64) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.core.SetRevision(revision)
}

// Self returns this daemon's own entry.
func (n *Node) Self() membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Self()
}

// Members returns the live members, this daemon included.
func (n *Node) Members() []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Members()
}

// Generation rises with each change of the members. It is never 0.
func (n *Node) Generation() uint64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Generation()
}

// Count returns how many members are live, this daemon included.
func (n *Node) Count() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Count()
}

// Member returns what is known of a name.
func (n *Node) Member(name string) (membership.Member, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Member(name)
}

// Items returns the items whose keys accept chooses.
func (n *Node) Items(accept func(key string) bool) []membership.Item {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Items(accept)
}

// Statistics returns the core's counters.
func (n *Node) Statistics() membership.Statistics {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Statistics()
}

// ZoneNames returns the names of the live members of this daemon's zone.
func (n *Node) ZoneNames() []string {
	zone := n.Self().Zone
	return memberNames(n.Members(), func(member membership.Member) bool { return member.Zone == zone })
}

// AllNames returns the names of all live members.
func (n *Node) AllNames() []string {
	return memberNames(n.Members(), func(membership.Member) bool { return true })
}

func memberNames(members []membership.Member, accept func(membership.Member) bool) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		if accept(member) {
			names = append(names, member.Name)
		}
	}
	return names
}
