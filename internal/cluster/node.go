// Package cluster runs the membership protocol of one daemon: it drives the
// membership core with a timer, sends and receives its datagrams and full syncs, and
// delivers its events to subscribers.
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

// Methods of the peer protocol that Node handles.
const (
	MethodSync = "membership.sync"
	MethodPush = "membership.push"
)

const (
	ticksPerGossip = 2
	syncTimeout    = 3 * time.Second
)

// Subscriber receives events. It is called from one goroutine, with no locks held,
// and must not block for long.
type Subscriber func(membership.Event)

// Node is one daemon's view of the membership. mutex guards core.
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

// NewNode returns a node that uses the transport, which must not be started yet.
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
	peer.Handle(transport, MethodSync, node.handleSync)
	peer.Handle(transport, MethodPush, node.handlePush)
	return node
}

// Subscribe adds a subscriber. It must be called before Run.
func (n *Node) Subscribe(subscriber Subscriber) { n.subscribers = append(n.subscribers, subscriber) }

// Run runs the node until the context ends.
func (n *Node) Run(ctx context.Context) {
	go n.dispatch(ctx)
	periodic.Run(ctx, n.config.GossipInterval/ticksPerGossip, func() {
		n.update(func(core *membership.Core) []membership.Datagram { return core.Tick(time.Now()) })
	})
}

// update runs a step of the core, sends the datagrams that it returns and queues the
// core's events.
func (n *Node) update(step func(core *membership.Core) []membership.Datagram) {
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
	n.update(func(core *membership.Core) []membership.Datagram { return core.Receive(time.Now(), packet) })
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

// maxMemberLines is the number of changed members up to which each has its own log line.
// Larger changes, as at the start of a large fleet, are logged as counts.
const maxMemberLines = 16

// logMembers logs the changes of members.
func (n *Node) logMembers(events []membership.Event) {
	changed := []membership.Member{}
	for _, event := range events {
		if event.Kind == membership.EventMember {
			changed = append(changed, event.Member)
		}
	}
	if len(changed) <= maxMemberLines {
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
	n.update(func(core *membership.Core) []membership.Datagram {
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

func (n *Node) handleSync(_ context.Context, _ string, request peer.SyncRequestMessage) (peer.SyncAnswerMessage, error) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return peer.SyncAnswerMessage{SyncAnswer: n.core.AnswerSync(request.SyncRequest)}, nil
}

func (n *Node) handlePush(_ context.Context, _ string, push peer.SyncPushMessage) (peer.Empty, error) {
	n.update(func(core *membership.Core) []membership.Datagram {
		core.AcceptPush(push.SyncPush, time.Now())
		return nil
	})
	return peer.Empty{}, nil
}

// Publish distributes an item by gossip.
func (n *Node) Publish(item membership.Item) {
	n.update(func(core *membership.Core) []membership.Datagram {
		core.Publish(item, time.Now())
		return nil
	})
}

// Hint sends one item directly to the named member if it is live.
func (n *Node) Hint(name string, item membership.Item) {
	n.update(func(core *membership.Core) []membership.Datagram {
		member, known := core.Member(name)
		if !known || !member.Live() {
			return nil
		}
		return []membership.Datagram{core.Hint(member.Address, item)}
	})
}

// Leave announces that this daemon leaves.
func (n *Node) Leave() {
	n.update(func(core *membership.Core) []membership.Datagram { return core.Leave(time.Now()) })
}

// SetSeeds replaces the addresses through which this daemon joins.
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

// Generation increases with each change of the members. It is never 0.
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

// Member returns the entry of a name, and whether there is one.
func (n *Node) Member(name string) (membership.Member, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Member(name)
}

// Items returns the items for whose keys accept returns true.
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

// NamesWithLost returns the names of all live members and of those that were lost less than
// lostFor ago.
func (n *Node) NamesWithLost(lostFor time.Duration) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.NamesWithLost(lostFor, time.Now())
}

// Lost returns the members that were lost less than lostFor ago.
func (n *Node) Lost(lostFor time.Duration) []membership.Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.Lost(lostFor, time.Now())
}

// HasGone reports whether a member was lost or left less than window ago.
func (n *Node) HasGone(window time.Duration) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.core.HasGone(window, time.Now())
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
