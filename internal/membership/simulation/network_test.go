// Package simulation tests the membership protocol with many members on an
// in-memory network in virtual time, with partitions, packet loss, pauses and
// restarts. Packets are encoded and authenticated as between real daemons.
package simulation

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

// Topology is the size of a fleet and its division into zones and regions.
type Topology struct {
	Daemons int
	Engines int
	Zones   int
	Regions int
}

const (
	tickInterval          = 50 * time.Millisecond
	latencyInZone         = 300 * time.Microsecond
	latencyInRegion       = time.Millisecond
	latencyBetweenRegions = 20 * time.Millisecond
)

// simulatedDaemon is one daemon on the in-memory network.
type simulatedDaemon struct {
	index       int
	core        *membership.Core
	zone        int
	region      int
	isUp        bool
	pausedUntil time.Time
	starts      int64
	revision    int64
	revisionAt  time.Time
	// supervised holds the engines that the daemon supervises.
	supervised []int
	// dutiesAt is when supervised was last computed.
	dutiesAt time.Time
	// publishAt is when the load of an engine is published next.
	publishAt map[int]time.Time

	// previous holds the summed counters of the daemon's previous incarnations.
	previous membership.Statistics
}

// event is a function to run at a virtual time.
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

// Network simulates a fleet in virtual time. Runs with the same seed are identical.
type Network struct {
	topology  Topology
	config    membership.Config
	random    *rand.Rand
	key       []byte
	now       time.Time
	order     uint64
	queue     eventQueue
	daemons   []*simulatedDaemon
	byAddress map[string]*simulatedDaemon
	// isPartitioned reports whether traffic from one daemon to another is dropped.
	isPartitioned func(from, to *simulatedDaemon) bool
	// loss is the share of datagrams dropped at random, from 0 to 1.
	loss float64
	// exchanged counts the members that full exchanges carried; exchangedBetweenZones
	// counts those of exchanges between daemons of different zones.
	exchanged, exchangedBetweenZones int
}

// NewNetwork starts a fleet. Each member gets four random members as seeds.
func NewNetwork(topology Topology, config membership.Config, seed uint64) *Network {
	network := &Network{
		topology: topology, config: config, random: rand.New(rand.NewPCG(seed, seed)), key: make([]byte, 32),
		now: time.Unix(1_800_000_000, 0), byAddress: map[string]*simulatedDaemon{}, isPartitioned: func(*simulatedDaemon, *simulatedDaemon) bool { return false },
	}
	for index := range topology.Daemons {
		network.add(index)
	}
	return network
}

func (n *Network) add(index int) {
	zone := index % n.topology.Zones
	daemon := &simulatedDaemon{index: index, zone: zone, region: zone % n.topology.Regions, publishAt: map[int]time.Time{}}
	n.daemons = append(n.daemons, daemon)
	n.byAddress[address(index)] = daemon
	n.start(daemon)
	n.after(time.Duration(n.random.Int64N(int64(tickInterval))), func() { n.tick(daemon) })
}

func address(index int) string {
	return fmt.Sprintf("10.%d.%d.%d:7400", index/62500, index/250%250, index%250)
}
func name(index int) string    { return fmt.Sprintf("daemon-%03d", index) }
func zoneName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// start starts a new incarnation of a daemon without any state.
func (n *Network) start(daemon *simulatedDaemon) {
	daemon.starts++
	if daemon.core != nil {
		ended := daemon.core.Statistics()
		daemon.previous.Deaths += ended.Deaths
		daemon.previous.Suspicions += ended.Suspicions
	}
	self := membership.Member{
		Name: name(daemon.index), Address: address(daemon.index), HTTPAddress: address(daemon.index), Zone: zoneName(daemon.zone),
		Region: fmt.Sprintf("region-%d", daemon.region), Incarnation: n.now.UnixMilli() + daemon.starts,
	}
	random := rand.New(rand.NewPCG(n.random.Uint64(), n.random.Uint64()))
	daemon.core = membership.New(n.config, self, random, n.now)
	seeds := []string{}
	for range 4 {
		seeds = append(seeds, address(n.random.IntN(n.topology.Daemons)))
	}
	daemon.core.SetSeeds(seeds)
	daemon.isUp = true
	daemon.revision = 0
	daemon.supervised = nil
}

// after schedules run after a delay.
func (n *Network) after(delay time.Duration, run func()) {
	n.order++
	heap.Push(&n.queue, event{at: n.now.Add(delay), order: n.order, run: run})
}

// Run advances the virtual time by span.
func (n *Network) Run(span time.Duration) {
	end := n.now.Add(span)
	for len(n.queue) > 0 && !n.queue[0].at.After(end) {
		next := heap.Pop(&n.queue).(event)
		n.now = next.at
		next.run()
	}
	n.now = end
}

// RunUntil advances the virtual time until the condition holds, which it checks every
// step, and returns how long that took. ok is false if it does not hold within timeout.
func (n *Network) RunUntil(timeout, step time.Duration, condition func() bool) (took time.Duration, ok bool) {
	started := n.now
	for n.now.Sub(started) < timeout {
		if condition() {
			return n.now.Sub(started), true
		}
		n.Run(step)
	}
	return timeout, condition()
}

func (n *Network) tick(daemon *simulatedDaemon) {
	n.after(tickInterval, func() { n.tick(daemon) })
	if !daemon.isUp || n.now.Before(daemon.pausedUntil) {
		return
	}
	n.supervise(daemon)
	n.send(daemon, daemon.core.Tick(n.now))
}

// send transmits the datagrams that a daemon returned and handles its events.
func (n *Network) send(daemon *simulatedDaemon, datagrams []membership.Datagram) {
	for _, datagram := range datagrams {
		sealed, err := peer.SealDatagram(n.key, datagram.Packet)
		if err == nil {
			n.transmit(daemon, datagram.Address, sealed)
		}
	}
	n.react(daemon)
}

func (n *Network) transmit(from *simulatedDaemon, to string, sealed []byte) {
	target, known := n.byAddress[to]
	if !known || n.isPartitioned(from, target) || n.random.Float64() < n.loss {
		return
	}
	n.after(n.latency(from, target), func() { n.deliver(target, sealed) })
}

func (n *Network) latency(from, to *simulatedDaemon) time.Duration {
	switch {
	case from.zone == to.zone:
		return latencyInZone
	case from.region == to.region:
		return latencyInRegion
	}
	return latencyBetweenRegions
}

func (n *Network) deliver(target *simulatedDaemon, sealed []byte) {
	if !target.isUp {
		return
	}
	if n.now.Before(target.pausedUntil) {
		n.after(target.pausedUntil.Sub(n.now), func() { n.deliver(target, sealed) })
		return
	}
	packet, err := peer.OpenDatagram(n.key, sealed)
	if err != nil {
		n.react(target)
		return
	}
	n.send(target, target.core.Receive(n.now, packet))
}

// react handles a core's events: it performs full exchanges and fetches
// configuration revisions.
func (n *Network) react(daemon *simulatedDaemon) {
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

// call runs answer after a round trip if both daemons can reach each other and run.
func (n *Network) call(from, to *simulatedDaemon, answer func()) {
	if n.isPartitioned(from, to) || n.isPartitioned(to, from) {
		return
	}
	n.after(2*n.latency(from, to), func() {
		if from.isUp && to.isUp && !n.now.Before(to.pausedUntil) {
			answer()
		}
	})
}

// exchange performs a full membership exchange.
func (n *Network) exchange(from, to *simulatedDaemon) {
	request := from.core.StartSync()
	answer := to.core.AnswerSync(request)
	push := from.core.FinishSync(answer, n.now)
	to.core.AcceptPush(push, n.now)
	carried := len(answer.Members) + len(push.Members)
	n.exchanged += carried
	if from.zone != to.zone {
		n.exchangedBetweenZones += carried
	}
}

func (n *Network) fetch(daemon, from *simulatedDaemon) {
	if from.revision <= daemon.revision {
		return
	}
	n.applyRevision(daemon, from.revision)
}

func (n *Network) applyRevision(daemon *simulatedDaemon, revision int64) {
	if revision <= daemon.revision {
		return
	}
	daemon.revision = revision
	daemon.revisionAt = n.now
	daemon.core.SetRevision(revision)
}
