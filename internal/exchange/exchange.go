// Package exchange tells the daemons of a fleet what each has in flight at the
// back ends, so that all choose from nearly the same picture. Loads travel as
// hints, straight to each member; a lost one is made good by the next.
package exchange

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/backend"
	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
)

const (
	keyPrefix = "load/"
	// sendInterval is the shortest time between two messages, and perMember the
	// time that each further member adds, so that a daemon of a large fleet is
	// not busy with reading loads.
	sendInterval = 100 * time.Millisecond
	perMember    = 10 * time.Millisecond
	// wholeFleet is the largest fleet in which loads go to all members; in a
	// larger one they go to those of the zone.
	wholeFleet = 40
	// refreshInterval is the longest time between two messages of a daemon
	// that has work in flight.
	refreshInterval = 500 * time.Millisecond
	// forgetAfter is when the loads of a silent daemon count no more.
	forgetAfter = 1500 * time.Millisecond
	// forgetIntervals is the same in intervals, for large fleets.
	forgetIntervals = 4
)

// loadMessage is what one daemon has in flight.
type loadMessage struct {
	Backends []backendLoad `avro:"backends"`
	// Reads are the large prompt parts sent since the last message.
	Reads []readRecord `avro:"reads"`
	// Failures are those of back ends since the last message.
	Failures []failureRecord `avro:"failures"`
}

type failureRecord struct {
	Backend string `avro:"backend"`
	Count   int    `avro:"count"`
}

type readRecord struct {
	Backend string `avro:"backend"`
	Part    string `avro:"part"`
}

type backendLoad struct {
	ID      string `avro:"id"`
	Online  int    `avro:"online"`
	Batch   int    `avro:"batch"`
	Pending int    `avro:"pending"`
}

var loadSchema = avro.MustParse(`{"type":"record","name":"load","fields":[{"name":"backends","type":{"type":"array","items":{
	"type":"record","name":"backend","fields":[{"name":"id","type":"string"},{"name":"online","type":"int"},
	{"name":"batch","type":"int"},{"name":"pending","type":"int"}]}}},
	{"name":"reads","type":{"type":"array","items":{"type":"record","name":"read","fields":[
	{"name":"backend","type":"string"},{"name":"part","type":"string"}]}},"default":[]},
	{"name":"failures","type":{"type":"array","items":{"type":"record","name":"failure","fields":[
	{"name":"backend","type":"string"},{"name":"count","type":"int"}]}},"default":[]}]}`)

// Exchange sends this daemon's loads and receives the others'. mutex guards
// heard.
type Exchange struct {
	node     *cluster.Node
	backends *backend.Set
	log      *slog.Logger

	last   map[string]backend.PeerLoad
	sentAt time.Time

	mutex sync.Mutex
	heard map[string]time.Time
}

// New returns an exchange. It subscribes to the node, which must not run yet.
func New(node *cluster.Node, backends *backend.Set, log *slog.Logger) *Exchange {
	made := &Exchange{node: node, backends: backends, log: log, heard: map[string]time.Time{}}
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
		case <-e.backends.Urgent():
			e.send(time.Now())
		case now := <-ticker.C:
			if now.Sub(e.sentAt) >= e.interval()-sendInterval/2 {
				e.send(now)
			}
			e.forget(now)
		}
	}
}

// interval is the time between two messages at the present size of the fleet.
func (e *Exchange) interval() time.Duration {
	return max(sendInterval, time.Duration(len(e.recipients()))*perMember)
}

func (e *Exchange) send(now time.Time) {
	loads := e.backends.OwnLoads()
	reads, failures := e.backends.TakeReads(), e.backends.TakeFailures()
	isSame := sameLoads(loads, e.last) && len(reads) == 0 && len(failures) == 0
	if isSame && (len(loads) == 0 || now.Sub(e.sentAt) < max(refreshInterval, e.interval())) {
		return
	}
	payload, err := encodeLoads(loads, reads, failures)
	if err != nil {
		e.log.Error("load_not_encoded", "error", err)
		return
	}
	e.last, e.sentAt = loads, now
	self := e.node.Self().Name
	item := membership.Item{Key: keyPrefix + self, Version: now.UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, name := range e.recipients() {
		e.node.Hint(name, item)
	}
}

// recipients returns the members that are told.
func (e *Exchange) recipients() []string {
	self, members := e.node.Self(), e.node.Members()
	names := make([]string, 0, len(members))
	for _, member := range members {
		isNear := len(members) <= wholeFleet || member.Zone == self.Zone
		if isNear && member.Name != self.Name {
			names = append(names, member.Name)
		}
	}
	return names
}

func sameLoads(a, b map[string]backend.PeerLoad) bool {
	if len(a) != len(b) {
		return false
	}
	for id, load := range a {
		if b[id] != load {
			return false
		}
	}
	return true
}

func encodeLoads(loads map[string]backend.PeerLoad, reads []backend.Read, failures map[string]int) ([]byte, error) {
	message := loadMessage{Backends: []backendLoad{}, Reads: []readRecord{}, Failures: []failureRecord{}}
	for id, load := range loads {
		message.Backends = append(message.Backends, backendLoad{ID: id, Online: load.Online, Batch: load.Batch, Pending: load.PendingTokens})
	}
	for _, read := range reads {
		message.Reads = append(message.Reads, readRecord{Backend: read.Backend, Part: read.Part})
	}
	for id, count := range failures {
		message.Failures = append(message.Failures, failureRecord{Backend: id, Count: count})
	}
	payload, err := avro.Marshal(loadSchema, message)
	return payload, errors.WithStack(err)
}

func (e *Exchange) receive(event membership.Event) {
	switch event.Kind {
	case membership.EventHint:
		if name, isLoad := strings.CutPrefix(event.Item.Key, keyPrefix); isLoad {
			e.accept(name, event.Item.Payload, time.Now())
		}
	case membership.EventMember:
		if !event.Member.Live() {
			e.drop(event.Member.Name)
		}
	}
}

func (e *Exchange) accept(name string, payload []byte, now time.Time) {
	var message loadMessage
	if err := avro.Unmarshal(loadSchema, payload, &message); err != nil {
		e.log.Warn("load_not_decoded", "peer", name, "error", err)
		return
	}
	loads := make(map[string]backend.PeerLoad, len(message.Backends))
	for _, each := range message.Backends {
		loads[each.ID] = backend.PeerLoad{Online: each.Online, Batch: each.Batch, PendingTokens: each.Pending}
	}
	reads := make([]backend.Read, 0, len(message.Reads))
	for _, each := range message.Reads {
		reads = append(reads, backend.Read{Backend: each.Backend, Part: each.Part})
	}
	e.backends.NoteReads(reads, now)
	failures := map[string]int{}
	for _, each := range message.Failures {
		failures[each.Backend] += each.Count
	}
	e.backends.NoteFailures(failures, now)
	e.mutex.Lock()
	e.heard[name] = now
	e.mutex.Unlock()
	e.backends.SetPeerLoads(name, loads)
}

func (e *Exchange) drop(name string) {
	e.mutex.Lock()
	_, known := e.heard[name]
	delete(e.heard, name)
	e.mutex.Unlock()
	if known {
		e.backends.SetPeerLoads(name, nil)
	}
}

func (e *Exchange) forget(now time.Time) {
	limit := max(forgetAfter, e.interval()*forgetIntervals)
	e.mutex.Lock()
	silent := []string{}
	for name, at := range e.heard {
		if now.Sub(at) > limit {
			silent = append(silent, name)
		}
	}
	e.mutex.Unlock()
	for _, name := range silent {
		e.drop(name)
	}
}
