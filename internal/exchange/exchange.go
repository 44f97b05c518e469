// Package exchange distributes the load of each daemon to the other daemons: its
// requests in flight by backend, its waiting batch items and its queue statistics. It
// also distributes prompt reads (large prompt parts that were sent to backends), backend
// failures and preemptions. In a small fleet every
// daemon sends to all others. In a large fleet each daemon sends to two relays of its
// zone; a relay sends every daemon of the zone the total of all other daemons, and
// relays of different zones exchange the totals of their zones. A daemon that uses only a
// section of the backends sends to its neighbors instead. Delivery is best effort: the
// next message replaces a lost one.
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

// Prefixes of the hint keys; the name of the sending daemon or zone follows.
const (
	keyMember = "lives-load/"
	keyZone   = "zone-lives-load/"
	keyOthers = "others-lives-load/"
	// keyPreempt is followed by the id of the backend at which to preempt a batch item.
	keyPreempt = "preempt/"
)

const (
	// sendInterval is the minimum time between two periodic messages. Without relays
	// the interval is at least intervalPerMember times the number of recipients.
	sendInterval      = 100 * time.Millisecond
	intervalPerMember = 10 * time.Millisecond
	// publishPause is the minimum time between two messages sent on a publish signal.
	publishPause = 10 * time.Millisecond
	// zoneInterval is the time between two totals for other zones.
	zoneInterval = 200 * time.Millisecond
	// refreshInterval is the time after which unchanged loads are sent again.
	refreshInterval = 500 * time.Millisecond
	// loadTimeout is the time after which loads that were not refreshed are dropped.
	loadTimeout = 1500 * time.Millisecond
	// recipientsMaxAge is how long computed recipients are used without a check for
	// changes.
	recipientsMaxAge = 300 * time.Millisecond
)

// fleetName is the peer name under which the total received from a relay is stored.
const fleetName = "fleet"

// Exchange sends this daemon's loads and receives those of other daemons. The fields up
// to Section do not change while Run runs. Only the goroutine of Run uses the fields from
// last to othersAt; mutex guards the fields after it.
type Exchange struct {
	node     *cluster.Node
	backends *backend.Set
	log      *slog.Logger
	self     membership.Member
	// directLimit is the largest fleet without relays.
	directLimit int
	// Section returns the share of the ring of backends that this daemon uses, and
	// whether it is only a part. It must be set before Run.
	Section func() (width float64, isPartial bool)

	last     loadSet
	sentAt   time.Time
	zoneAt   time.Time
	othersAt time.Time

	mutex        sync.Mutex
	receivedAt   map[string]time.Time
	relay        *relay
	random       *rand.Rand
	recipients   recipients
	recipientsAt time.Time
	// input is what recipients were computed from.
	input recipientsInput
}

// recipientsInput identifies the input of recipientsOf: the generation of the member
// list and the section.
type recipientsInput struct {
	generation uint64
	section    section
}

// New returns an exchange and subscribes it to the node, which must not run yet.
func New(node *cluster.Node, backends *backend.Set, log *slog.Logger) *Exchange {
	e := &Exchange{node: node, backends: backends, log: log, self: node.Self(), directLimit: topology.FullMeshLimit, Section: func() (float64, bool) { return 1, false }, receivedAt: map[string]time.Time{}, relay: newRelay(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	node.Subscribe(e.receive)
	return e
}

// Run sends loads and preemptions until the context is canceled.
func (e *Exchange) Run(ctx context.Context) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.backends.PublishSignal():
			e.send(time.Now(), e.currentRecipients(time.Now()))
			periodic.Sleep(ctx, publishPause)
		case id := <-e.backends.Preemptions():
			e.preempt(id)
		case now := <-ticker.C:
			e.tick(now)
		}
	}
}

func (e *Exchange) tick(now time.Time) {
	recipients := e.currentRecipients(now)
	if now.Sub(e.sentAt) >= recipients.interval()-sendInterval/2 {
		e.send(now, recipients)
	}
	e.expire(now)
	if recipients.isRelay(e.self.Name) {
		e.relayLoads(now, recipients)
	}
}

// currentRecipients returns the recipients, which it recomputes when the members or the
// section have changed.
func (e *Exchange) currentRecipients(now time.Time) recipients {
	e.mutex.Lock()
	isFresh := now.Sub(e.recipientsAt) < recipientsMaxAge
	known, knownInput := e.recipients, e.input
	e.mutex.Unlock()
	if isFresh {
		return known
	}
	input := recipientsInput{generation: e.node.Generation()}
	input.section.width, input.section.isPartial = e.Section()
	if input == knownInput {
		return known
	}
	found := recipientsOf(e.self, e.node.Members(), e.directLimit, input.section)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.recipients, e.recipientsAt, e.input = found, now, input
	e.backends.SetPropagation(found.propagation())
	return found
}

// interval returns the time between two periodic messages.
func (r recipients) interval() time.Duration {
	return max(sendInterval, time.Duration(len(r.members))*intervalPerMember)
}

// propagation returns the time until a change has reached all recipients.
func (r recipients) propagation() time.Duration {
	if r.isRelayed {
		return 2 * sendInterval // to the relay and from the relay
	}
	return r.interval()
}

// send sends this daemon's loads and events if they have changed since the last message.
// Unchanged loads are sent again after refreshInterval, or after the recipients' interval
// if that is longer, unless they are empty.
func (e *Exchange) send(now time.Time, recipients recipients) {
	loads := loadSet{inFlight: e.backends.OwnLoads(), waiting: e.backends.OwnWaiting(), queueStats: e.backends.OwnQueueStats(now)}
	events := eventSet{reads: e.backends.TakePromptReads(), failures: e.backends.TakeUnsentFailures()}
	isSame := loads.equal(e.last) && events.isEmpty()
	if isSame && (loads.isEmpty() || now.Sub(e.sentAt) < max(refreshInterval, recipients.interval())) {
		return
	}
	e.last, e.sentAt = loads, now
	if !recipients.isRelayed {
		e.sendTo(recipients.members, keyMember+e.self.Name, loads, events, now)
		return
	}
	for rank, name := range recipients.relays {
		// Events are sent to one relay only, so that none is counted twice.
		forRelay := events
		if rank > 0 {
			forRelay = eventSet{}
		}
		if name == e.self.Name {
			e.mutex.Lock()
			e.relay.setMember(name, loads, forRelay, now)
			e.mutex.Unlock()
			continue
		}
		e.sendTo([]string{name}, keyMember+e.self.Name, loads, forRelay, now)
	}
}

// sendTo sends one message to the members with these names.
func (e *Exchange) sendTo(names []string, key string, loads loadSet, events eventSet, now time.Time) {
	payload, err := encode(loads, events)
	if err != nil {
		e.log.Error("load_not_encoded", "error", err)
		return
	}
	item := membership.Item{Key: key, Version: now.UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, name := range names {
		e.node.Hint(name, item)
	}
}

// relayLoads sends every daemon of the zone the total of all other daemons, and the
// relays of other zones the total of this zone.
func (e *Exchange) relayLoads(now time.Time, recipients recipients) {
	if now.Sub(e.othersAt) < sendInterval-sendInterval/4 {
		return
	}
	e.othersAt = now
	e.mutex.Lock()
	pending := e.relay.takeEvents()
	fleet := e.relay.fleetTotal()
	zone := e.relay.zoneTotal()
	others := make(map[string]loadSet, len(recipients.zone))
	for _, name := range recipients.zone {
		others[name] = e.relay.othersOf(name, fleet)
	}
	own := e.relay.othersOf(e.self.Name, fleet)
	e.receivedAt[fleetName] = now
	e.mutex.Unlock()
	e.backends.SetPeerLoads(fleetName, own.inFlight, own.waiting)
	e.backends.SetPeerQueueStats(fleetName, own.queueStats)
	for name, loads := range others {
		e.sendTo([]string{name}, keyOthers+e.self.Name, loads, pending.forMember(name), now)
	}
	forZones := pending.forZones()
	if now.Sub(e.zoneAt) >= zoneInterval || !forZones.isEmpty() {
		e.zoneAt = now
		e.sendTo(recipients.zoneRelays, keyZone+e.self.Zone, zone, forZones, now)
	}
}

// receive handles events of the membership protocol.
func (e *Exchange) receive(event membership.Event) {
	switch event.Kind {
	case membership.EventHint:
		e.accept(event.Item, time.Now())
	case membership.EventMember:
		if !event.Member.Live() {
			e.removePeer(event.Member.Name)
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
	loads, events, err := decode(item.Payload)
	if err != nil {
		e.log.Warn("load_not_decoded", "key", item.Key, "error", err)
		return
	}
	e.backends.RecordPeerPromptReads(events.reads, now)
	e.backends.RecordPeerFailures(events.failures, now)
	switch {
	case isZone:
		e.mutex.Lock()
		e.relay.setZone(zone, loads, events, now)
		e.mutex.Unlock()
	case isOthers:
		e.setPeer(fleetName, loads, now)
	case e.currentRecipients(now).isRelayed:
		e.mutex.Lock()
		e.relay.setMember(member, loads, events, now)
		e.mutex.Unlock()
	default:
		e.setPeer(member, loads, now)
	}
}

// setPeer replaces the loads of another daemon, or of all others if name is fleetName.
func (e *Exchange) setPeer(name string, loads loadSet, now time.Time) {
	e.mutex.Lock()
	e.receivedAt[name] = now
	e.mutex.Unlock()
	e.backends.SetPeerLoads(name, loads.inFlight, loads.waiting)
	e.backends.SetPeerQueueStats(name, loads.queueStats)
}

func (e *Exchange) removePeer(name string) {
	e.mutex.Lock()
	_, known := e.receivedAt[name]
	delete(e.receivedAt, name)
	e.relay.removeMember(name)
	e.mutex.Unlock()
	if known {
		e.backends.SetPeerLoads(name, nil, 0)
		e.backends.SetPeerQueueStats(name, nil)
	}
}

// expire drops loads that were not refreshed within loadTimeout.
func (e *Exchange) expire(now time.Time) {
	since := now.Add(-loadTimeout)
	e.mutex.Lock()
	e.relay.removeStale(since)
	stale := []string{}
	for name, at := range e.receivedAt {
		if at.Before(since) {
			stale = append(stale, name)
		}
	}
	e.mutex.Unlock()
	for _, name := range stale {
		e.removePeer(name)
	}
}
