// Package scale measures the control plane at the size of the aim. Hollow
// daemons run the real membership, gossip and duty code, and encode and
// authenticate every packet as daemons do; many share a process. Network is an
// in-memory network in virtual time, for faults and long spans; loopback.go
// runs hollow daemons over real sockets.
package scale

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

// Topology is the shape of a fleet.
type Topology struct {
	Daemons int
	Engines int
	Zones   int
	Regions int
}

const (
	tickInterval     = 50 * time.Millisecond
	latencyInZone    = 300 * time.Microsecond
	latencyInRegion  = time.Millisecond
	latencyBeyond    = 20 * time.Millisecond
	tcpOverheadBytes = 200
)

// hollow is one hollow daemon on the in-memory network.
type hollow struct {
	index       int
	core        *membership.Core
	zone        int
	region      int
	up          bool
	pausedUntil time.Time
	life        int64
	revision    int64
	revisionAt  time.Time
	supervised  []int
	dutyAt      time.Time
	publishAt   map[int]time.Time

	// earlier sums the counters of the daemon's earlier lives.
	earlier membership.Statistics

	sentBytes     uint64
	receivedBytes uint64
	packets       uint64
	processor     time.Duration
}

// event is something that happens at a virtual time.
type event struct {
	at    time.Time
	order uint64
	run   func()
}

// eventQueue is a heap of events by time, then by order of creation.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if !q[a].at.Equal(q[b].at) {
		return q[a].at.Before(q[b].at)
	}
	return q[a].order < q[b].order
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(item any) { *q = append(*q, item.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Network is a fleet of hollow daemons in virtual time. It is deterministic
// for a seed, but for the processor times it measures.
type Network struct {
	topology  Topology
	config    membership.Config
	random    *rand.Rand
	key       []byte
	now       time.Time
	order     uint64
	queue     eventQueue
	daemons   []*hollow
	byAddress map[string]*hollow
	// cut reports whether traffic from one daemon to another is dropped.
	cut func(from, to *hollow) bool
	// loss is the share of datagrams lost at random.
	loss float64
}

// NewNetwork starts a fleet whose members know the first ones as seeds.
func NewNetwork(topology Topology, config membership.Config, seed uint64) *Network {
	network := &Network{
		topology: topology, config: config, random: rand.New(rand.NewPCG(seed, seed)), key: make([]byte, 32),
		now: time.Unix(1_800_000_000, 0), byAddress: map[string]*hollow{}, cut: func(*hollow, *hollow) bool { return false },
	}
	for index := range topology.Daemons {
		network.add(index)
	}
	return network
}

func (n *Network) add(index int) {
	zone := index % n.topology.Zones
	daemon := &hollow{index: index, zone: zone, region: zone % n.topology.Regions, publishAt: map[int]time.Time{}}
	n.daemons = append(n.daemons, daemon)
	n.byAddress[address(index)] = daemon
	n.boot(daemon)
	n.after(time.Duration(n.random.Int64N(int64(tickInterval))), func() { n.tick(daemon) })
}

func address(index int) string {
	return fmt.Sprintf("10.%d.%d.%d:7400", index/62500, index/250%250, index%250)
}
func name(index int) string    { return fmt.Sprintf("daemon-%03d", index) }
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// boot starts a new life of a daemon, which remembers nothing.
func (n *Network) boot(daemon *hollow) {
	daemon.life++
	if daemon.core != nil {
		ended := daemon.core.Statistics()
		daemon.earlier.Deaths += ended.Deaths
		daemon.earlier.Suspicions += ended.Suspicions
	}
	self := membership.Member{
		Name: name(daemon.index), Address: address(daemon.index), HTTPAddress: address(daemon.index), Zone: zoneName(daemon.zone),
		Region: fmt.Sprintf("region-%d", daemon.region), Incarnation: n.now.UnixMilli() + daemon.life,
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	daemon.core = membership.New(n.config, self, random, n.now)
	seeds := []string{}
	for range 4 {
		seeds = append(seeds, address(n.random.IntN(n.topology.Daemons)))
	}
	daemon.core.SetSeeds(seeds)
	daemon.up = true
	daemon.revision = 0
	daemon.supervised = nil
}

// after schedules an event.
func (n *Network) after(delay time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now.Add(delay), order: n.order, run: run})
}

// Run advances virtual time.
func (n *Network) Run(span time.Duration) {
	end := n.now.Add(span)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// RunUntil advances until the condition holds, which it checks every step, and
// returns how long that took; ok is false when the bound passed first.
func (n *Network) RunUntil(bound, step time.Duration, condition func() bool) (took time.Duration, ok bool) {
	started := n.now
	for n.now.Sub(started) < bound {
		if condition() {
			return n.now.Sub(started), true
		}
		n.Run(step)
	}
	return bound, condition()
}

func (n *Network) tick(daemon *hollow) {
	n.after(tickInterval, func() { n.tick(daemon) })
	if !daemon.up || n.now.Before(daemon.pausedUntil) {
		return
	}
	n.measure(daemon, func() []membership.Datagram {
		n.supervise(daemon)
		return daemon.core.Tick(n.now)
	})
}

// measure runs a step of a daemon, charges its processor time and sends what
// it returns.
func (n *Network) measure(daemon *hollow, step func() []membership.Datagram) {
	started := time.Now()
	datagrams := step()
	sealed := make([][]byte, len(datagrams))
	for index, datagram := range datagrams {
		sealed[index], _ = peer.SealDatagram(n.key, datagram.Packet)
	}
	daemon.processor += time.Since(started)
	for index, datagram := range datagrams {
		n.transmit(daemon, datagram.Address, sealed[index])
	}
	n.react(daemon)
}

const udpHeaderBytes = 28

func (n *Network) transmit(from *hollow, to string, sealed []byte) {
	size := uint64(len(sealed) + udpHeaderBytes)
	from.sentBytes += size
	from.packets++
	target, known := n.byAddress[to]
	if !known || n.cut(from, target) || n.random.Float64() < n.loss {
		return
	}
	n.after(n.latency(from, target), func() { n.deliver(target, sealed, size) })
}

func (n *Network) latency(from, to *hollow) time.Duration {
	switch {
	case from.zone == to.zone:
		return latencyInZone
	case from.region == to.region:
		return latencyInRegion
	}
	return latencyBeyond
}

func (n *Network) deliver(target *hollow, sealed []byte, size uint64) {
	if !target.up {
		return
	}
	if n.now.Before(target.pausedUntil) {
		n.after(target.pausedUntil.Sub(n.now), func() { n.deliver(target, sealed, size) })
		return
	}
	target.receivedBytes += size
	target.packets++
	n.measure(target, func() []membership.Datagram {
		packet, err := peer.OpenDatagram(n.key, sealed)
		if err != nil {
			return nil
		}
		return target.core.Receive(n.now, packet)
	})
}

// react carries out what a core asks for: full exchanges and fetches of
// configuration revisions.
func (n *Network) react(daemon *hollow) {
	for _, event := range daemon.core.TakeEvents() {
		other, known := n.byAddress[event.Address]
		if !known || other == daemon {
			continue
		}
		switch event.Kind {
		case membership.EventSync:
			n.call(daemon, other, func() { n.exchange(daemon, other) })
		case membership.EventRevision:
			n.call(daemon, other, func() { n.fetch(daemon, other) })
		}
	}
}

// call runs a peer call after a round trip if both ends can reach each other.
func (n *Network) call(from, to *hollow, answer func()) {
	if n.cut(from, to) || n.cut(to, from) {
		return
	}
	n.after(2*n.latency(from, to), func() {
		if from.up && to.up && !n.now.Before(to.pausedUntil) {
			answer()
		}
	})
}

// exchange performs a full membership exchange with real encodings.
func (n *Network) exchange(from, to *hollow) {
	request := from.core.StartSync()
	answer := to.core.AnswerSync(request)
	push := from.core.FinishSync(answer, n.now)
	to.core.AcceptPush(push, n.now)
	sent := encodedSize(peer.SyncRequestMessage{SyncRequest: request}) + encodedSize(peer.SyncPushMessage{SyncPush: push})
	received := encodedSize(peer.SyncAnswerMessage{SyncAnswer: answer})
	charge(from, sent, received)
	charge(to, received, sent)
}

func encodedSize(message peer.Message) uint64 {
	encoded, err := avro.Marshal(message.Schema(), message)
	if err != nil {
		return 0
	}
	return uint64(len(encoded)) + tcpOverheadBytes
}

func charge(daemon *hollow, sent, received uint64) {
	daemon.sentBytes += sent
	daemon.receivedBytes += received
	daemon.packets += 2
}

// revisionBytes is the assumed size of one revision without its bundle.
const revisionBytes = 600

func (n *Network) fetch(daemon, from *hollow) {
	if from.revision <= daemon.revision {
		return
	}
	charge(daemon, tcpOverheadBytes, revisionBytes+tcpOverheadBytes)
	charge(from, revisionBytes+tcpOverheadBytes, tcpOverheadBytes)
	n.applyRevision(daemon, from.revision)
}

func (n *Network) applyRevision(daemon *hollow, revision int64) {
	if revision <= daemon.revision {
		return
	}
	daemon.revision = revision
	daemon.revisionAt = n.now
	daemon.core.SetRevision(revision)
}
