// Package exchange tells the daemons of a fleet what each has in flight at the
// backends, so that all choose from nearly the same picture. In a small fleet
// every daemon tells all others. In a large one each tells two relays of its
// zone, which send every daemon the sum of all others' work; relays of the
// zones tell each other their totals. Messages are hints: a lost one is made
// good by the next.
package exchange

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/topology"
)

// Keys of the hints, before the name of the daemon or zone that they tell of.
const (
	keyMember = "lives-load/"
	keyZone   = "zone-lives-load/"
	keyOthers = "others-lives-load/"
	// keyPreempt stands before the id of a backend at which one item should
	// give way.
	keyPreempt = "preempt/"
)

const (
	// sendInterval is the shortest time between two messages, and perMember the
	// time that each further member adds while all are told directly.
	sendInterval = 100 * time.Millisecond
	perMember    = 10 * time.Millisecond
	// urgentPause is the shortest time between two urgent messages.
	urgentPause = 10 * time.Millisecond
	// zoneInterval is the time between two totals for other zones.
	zoneInterval = 200 * time.Millisecond
	// refreshInterval is the longest time between two messages of a daemon
	// that has work in flight.
	refreshInterval = 500 * time.Millisecond
	// forgetAfter is when the loads of a silent daemon count no more.
	forgetAfter = 1500 * time.Millisecond
	// audienceAge is how long the list of those who are told is used.
	audienceAge = 300 * time.Millisecond
)

// othersOfFleet is the name under which the sum that a relay told is kept.
const othersOfFleet = "fleet"

// Exchange sends this daemon's loads and receives the others'. The fields
// before mutex belong to the goroutine of Run; mutex guards those behind it.
type Exchange struct {
	node     *cluster.Node
	backends *backend.Set
	log      *slog.Logger
	self     membership.Member
	// directLimit is the largest fleet in which all are told directly.
	directLimit int
	// Section returns how much of the ring of backends this daemon knows, and whether
	// that is not all. It is set before Run.
	Section func() (width float64, isPart bool)

	last     loads
	sentAt   time.Time
	zoneAt   time.Time
	othersAt time.Time

	mutex      sync.Mutex
	heard      map[string]time.Time
	relay      *relay
	random     *rand.Rand
	audience   audience
	audienceAt time.Time
	// basis is what the audience was worked out from.
	basis audienceBasis
}

// audienceBasis is what an audience depends on: the members, by their generation, and the
// section.
type audienceBasis struct {
	generation uint64
	section    section
}

// New returns an exchange. It subscribes to the node, which must not run yet.
func New(node *cluster.Node, backends *backend.Set, log *slog.Logger) *Exchange {
	made := &Exchange{node: node, backends: backends, log: log, self: node.Self(), directLimit: topology.FullMeshLimit, Section: func() (float64, bool) { return 1, false }, heard: map[string]time.Time{}, relay: newRelay(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	node.Subscribe(made.receive)
	return made
}

// Run sends loads until the context ends.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.backends.PublishSignal():
			e.send(time.Now(), e.currentAudience(time.Now()))
			periodic.Sleep(ctx, urgentPause)
		case id := <-e.backends.Preemptions():
			e.preempt(id)
		case now := <-ticker.C:
			e.tick(now)
		}
	}
}

func (e *Exchange) tick(now time.Time) {
	audience := e.currentAudience(now)
	if now.Sub(e.sentAt) >= audience.interval()-sendInterval/2 {
		e.send(now, audience)
	}
	e.forget(now)
	if audience.isRelay(e.self.Name) {
		e.relayQueueStats(now, audience)
	}
}

// currentAudience returns whom to tell, worked out anew now and then.
func (e *Exchange) currentAudience(now time.Time) audience {
	e.mutex.Lock()
	isFresh := now.Sub(e.audienceAt) < audienceAge
	known, knownBasis := e.audience, e.basis
	e.mutex.Unlock()
	if isFresh {
		return known
	}
	basis := audienceBasis{generation: e.node.Generation()}
	basis.section.width, basis.section.isPart = e.Section()
	if basis == knownBasis {
		return known
	}
	found := audienceOf(e.self, e.node.Members(), e.directLimit, basis.section)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.audience, e.audienceAt, e.basis = found, now, basis
	e.backends.SetPropagation(found.propagation())
	return found
}

// interval is the time between two messages at the present size of the fleet.
func (a audience) interval() time.Duration {
	return max(sendInterval, time.Duration(len(a.members))*perMember)
}

// propagation is the time until all daemons know of a change.
func (a audience) propagation() time.Duration {
	if a.isRelayed {
		return 2 * sendInterval // to the relay, and from it
	}
	return a.interval()
}

// send tells this daemon's own loads and news.
func (e *Exchange) send(now time.Time, audience audience) {
	work := loads{inFlight: e.backends.OwnLoads(), waiting: e.backends.OwnWaiting(), queueStats: e.backends.OwnQueueStats(now)}
	told := news{reads: e.backends.TakePromptReads(), failures: e.backends.TakeUnsentFailures()}
	isSame := work.equal(e.last) && told.isEmpty()
	if isSame && (work.isEmpty() || now.Sub(e.sentAt) < max(refreshInterval, audience.interval())) {
		return
	}
	e.last, e.sentAt = work, now
	if !audience.isRelayed {
		e.tell(audience.members, keyMember+e.self.Name, work, told, now)
		return
	}
	for rank, name := range audience.relays {
		// News are told to one relay only, so that none is counted twice.
		passed := told
		if rank > 0 {
			passed = news{}
		}
		if name == e.self.Name {
			e.mutex.Lock()
			e.relay.noteMember(name, work, passed, now)
			e.mutex.Unlock()
			continue
		}
		e.tell([]string{name}, keyMember+e.self.Name, work, passed, now)
	}
}

// tell sends one message to members by name.
func (e *Exchange) tell(names []string, key string, work loads, told news, now time.Time) {
	payload, err := encode(work, told)
	if err != nil {
		e.log.Error("load_not_encoded", "error", err)
		return
	}
	item := membership.Item{Key: key, Version: now.UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, name := range names {
		e.node.Hint(name, item)
	}
}

// relayQueueStats tells every daemon of the zone the work of all others, and the
// other zones the total of this one.
func (e *Exchange) relayQueueStats(now time.Time, audience audience) {
	if now.Sub(e.othersAt) < sendInterval-sendInterval/4 {
		return
	}
	e.othersAt = now
	e.mutex.Lock()
	pending := e.relay.takeNews()
	fleet := e.relay.fleetTotal()
	zone := e.relay.zoneTotal()
	others := make(map[string]loads, len(audience.zone))
	for _, name := range audience.zone {
		others[name] = e.relay.othersOf(name, fleet)
	}
	own := e.relay.othersOf(e.self.Name, fleet)
	e.heard[othersOfFleet] = now
	e.mutex.Unlock()
	e.backends.SetPeerLoads(othersOfFleet, own.inFlight, own.waiting)
	e.backends.SetPeerQueueStats(othersOfFleet, own.queueStats)
	for name, work := range others {
		e.tell([]string{name}, keyOthers+e.self.Name, work, pending.forMember(name), now)
	}
	forZones := pending.forZones()
	if now.Sub(e.zoneAt) >= zoneInterval || !forZones.isEmpty() {
		e.zoneAt = now
		e.tell(audience.zoneRelays, keyZone+e.self.Zone, zone, forZones, now)
	}
}

// receive takes what other daemons tell.
func (e *Exchange) receive(event membership.Event) {
	switch event.Kind {
	case membership.EventHint:
		e.accept(event.Item, time.Now())
	case membership.EventMember:
		if !event.Member.Live() {
			e.drop(event.Member.Name)
		}
	}
}

func (e *Exchange) accept(item membership.Item, now time.Time) {
	if id, isPreemption := strings.CutPrefix(item.Key, keyPreempt); isPreemption {
		e.acceptPreemption(id, len(item.Payload) > 0)
		return
	}
	member, isMember := strings.CutPrefix(item.Key, keyMember)
	zone, isZone := strings.CutPrefix(item.Key, keyZone)
	isOthers := strings.HasPrefix(item.Key, keyOthers)
	if !isMember && !isZone && !isOthers {
		return
	}
	work, told, err := decode(item.Payload)
	if err != nil {
		e.log.Warn("load_not_decoded", "key", item.Key, "error", err)
		return
	}
	e.backends.RecordPeerPromptReads(told.reads, now)
	e.backends.RecordPeerFailures(told.failures, now)
	switch {
	case isZone:
		e.mutex.Lock()
		e.relay.noteZone(zone, work, told, now)
		e.mutex.Unlock()
	case isOthers:
		e.keep(othersOfFleet, work, now)
	case e.currentAudience(now).isRelayed:
		e.mutex.Lock()
		e.relay.noteMember(member, work, told, now)
		e.mutex.Unlock()
	default:
		e.keep(member, work, now)
	}
}

// keep counts what another daemon, or all others together, have in flight.
func (e *Exchange) keep(name string, work loads, now time.Time) {
	e.mutex.Lock()
	e.heard[name] = now
	e.mutex.Unlock()
	e.backends.SetPeerLoads(name, work.inFlight, work.waiting)
	e.backends.SetPeerQueueStats(name, work.queueStats)
}

func (e *Exchange) drop(name string) {
	e.mutex.Lock()
	_, known := e.heard[name]
	delete(e.heard, name)
	e.relay.forgetMember(name)
	e.mutex.Unlock()
	if known {
		e.backends.SetPeerLoads(name, nil, 0)
		e.backends.SetPeerQueueStats(name, nil)
	}
}

// forget drops what was not refreshed for too long.
func (e *Exchange) forget(now time.Time) {
	since := now.Add(-forgetAfter)
	e.mutex.Lock()
	e.relay.forgetSilent(since)
	silent := []string{}
	for name, at := range e.heard {
		if at.Before(since) {
			silent = append(silent, name)
		}
	}
	e.mutex.Unlock()
	for _, name := range silent {
		e.drop(name)
	}
}
