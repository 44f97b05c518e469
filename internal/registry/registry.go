// Package registry is a daemon's view of the engines of its zone, built from
// the items that supervisors and machine watchers spread by gossip.
package registry

import (
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/engine"
	"topazpulley/internal/membership"
	"topazpulley/internal/storage"
)

// Prefixes of the item keys that the registry reads and writes.
const (
	PrefixMachine = "machine/"
	PrefixEngine  = "engine/"
	PrefixLoad    = "load/"
	PrefixYield   = "yield/"
)

// MachineRecord is an engine as the machine list shows it.
type MachineRecord struct {
	Address string
	Service string
	Leaving bool
	// Removed is a tombstone.
	Removed bool
}

// EngineRecord is what the supervisor knows of an engine and what changes
// seldom.
type EngineRecord struct {
	Up         bool
	State      string
	Fence      int64
	Models     []string
	Supervisor string
}

// Equal compares two records.
func (r EngineRecord) Equal(other EngineRecord) bool {
	return r.Up == other.Up && r.State == other.State && r.Fence == other.Fence &&
		r.Supervisor == other.Supervisor && slices.Equal(r.Models, other.Models)
}

// LoadRecord is an engine's load; it is refreshed often and kept small.
type LoadRecord struct {
	Online      int
	Waiting     int
	Batch       int
	KVPermille  int
	BatchWindow int
}

var (
	machineSchema = avrocodec.MustParse(`{"type":"record","name":"MachineRecord","fields":[
		{"name":"Address","type":"string"},{"name":"Service","type":"string"},
		{"name":"Leaving","type":"boolean"},{"name":"Removed","type":"boolean"}]}`)
	engineSchema = avrocodec.MustParse(`{"type":"record","name":"EngineRecord","fields":[
		{"name":"Up","type":"boolean"},{"name":"State","type":"string"},{"name":"Fence","type":"long"},
		{"name":"Models","type":{"type":"array","items":"string"}},{"name":"Supervisor","type":"string"}]}`)
	loadSchema = avrocodec.MustParse(`{"type":"record","name":"LoadRecord","fields":[
		{"name":"Online","type":"int"},{"name":"Waiting","type":"int"},{"name":"Batch","type":"int"},
		{"name":"KVPermille","type":"int"},{"name":"BatchWindow","type":"int"}]}`)
)

// Encode returns the item payload of a record.
func (r MachineRecord) Encode() []byte { return mustMarshal(machineSchema, r) }

// Encode returns the item payload of a record.
func (r EngineRecord) Encode() []byte { return mustMarshal(engineSchema, r) }

// Encode returns the item payload of a record.
func (r LoadRecord) Encode() []byte { return mustMarshal(loadSchema, r) }

// mustMarshal encodes records whose types always fit their schema.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := avro.Marshal(schema, record)
	if err != nil {
		panic(errors.Wrap(err, "encode a gossip record"))
	}
	return encoded
}

// Engine is the view of one engine. It is a value; changing it changes
// nothing.
type Engine struct {
	Name    string
	Machine MachineRecord
	Record  EngineRecord
	Load    LoadRecord
	// Known tells that a supervisor has reported the engine.
	Known bool
	// LoadAt is when the load report arrived.
	LoadAt time.Time
	// NetSince is what the load report cannot know yet: this daemon's requests
	// begun less those ended since the report was made. InFlight is all that
	// the daemon has on the engine.
	NetSince int
	InFlight int
	// EjectedUntil is when the engine is tried again after failures seen here.
	EjectedUntil time.Time
}

// Available reports whether the engine takes new work by its own word and the
// platform's.
func (e Engine) Available() bool {
	isUp := !e.Known || (e.Record.Up && e.Record.State == string(engine.StateReady))
	return isUp && !e.Machine.Leaving && !e.Machine.Removed
}

// Serving reports whether the engine is available and not ejected here.
func (e Engine) Serving(now time.Time) bool {
	return e.Available() && !now.Before(e.EjectedUntil)
}

// HasModel reports whether the engine has loaded any version of the model.
func (e Engine) HasModel(model string) bool {
	for _, loaded := range e.Record.Models {
		name, _, _ := strings.Cut(loaded, "@")
		if name == model {
			return true
		}
	}
	return false
}

// entry is the mutable state of one engine. Registry's mutex guards it.
type entry struct {
	view     Engine
	failures int
	// recent are the begins and ends that the load report may not know.
	recent []flight
}

// flight is one begin (+1) or end (-1) of a request of this daemon.
type flight struct {
	at     time.Time
	change int
}

// record adds a begin or an end.
func (e *entry) record(change int, now time.Time) {
	e.view.InFlight += change
	e.view.NetSince += change
	e.recent = append(e.recent, flight{at: now, change: change})
	if len(e.recent) > maxRecentFlights {
		e.forget(len(e.recent) - maxRecentFlights)
	}
}

// forget drops the oldest flights.
func (e *entry) forget(count int) {
	for _, old := range e.recent[:count] {
		e.view.NetSince -= old.change
	}
	e.recent = slices.Delete(e.recent, 0, count)
}

// reported takes a load report, which knows what happened before its lag.
func (e *entry) reported(load LoadRecord, now time.Time) {
	e.view.Load, e.view.LoadAt = load, now
	known := 0
	for known < len(e.recent) && e.recent[known].at.Before(now.Add(-assumedReportLag)) {
		known++
	}
	e.forget(known)
}

// Registry holds the engines of the daemon's zone.
type Registry struct {
	mutex   sync.Mutex
	engines map[string]*entry
	changed chan struct{}
}

const (
	ejectAfterFailures = 2
	ejectBase          = 500 * time.Millisecond
	ejectCeiling       = 8 * time.Second
	// assumedReportLag is how old a load report is when it arrives: the
	// engine's own lag, the wait for the next probe and for gossip.
	assumedReportLag = 300 * time.Millisecond
	maxRecentFlights = 4096
)

// New returns an empty registry.
func New() *Registry { return &Registry{engines: map[string]*entry{}, changed: make(chan struct{}, 1)} }

// Changed delivers a value after engines were added, removed or changed state.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Receive is the membership subscriber that keeps the registry current.
func (r *Registry) Receive(event membership.Event) {
	if event.Kind == membership.EventItem {
		r.Apply(event.Item)
	}
}

// Apply merges one gossip item; items of other kinds are ignored.
func (r *Registry) Apply(item membership.Item) {
	switch {
	case strings.HasPrefix(item.Key, PrefixMachine):
		record := MachineRecord{}
		if avrocodec.Unmarshal(machineSchema, item.Payload, &record) == nil {
			r.update(item.Key[len(PrefixMachine):], func(view *Engine) { view.Machine = record })
			r.signal()
		}
	case strings.HasPrefix(item.Key, PrefixEngine):
		record := EngineRecord{}
		if avrocodec.Unmarshal(engineSchema, item.Payload, &record) == nil {
			r.update(item.Key[len(PrefixEngine):], func(view *Engine) { view.Record, view.Known = record, true })
			r.signal()
		}
	case strings.HasPrefix(item.Key, PrefixLoad):
		record := LoadRecord{}
		if avrocodec.Unmarshal(loadSchema, item.Payload, &record) == nil {
			r.change(item.Key[len(PrefixLoad):], func(held *entry) { held.reported(record, time.Now()) })
		}
	}
}

func (r *Registry) signal() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Registry) update(name string, change func(*Engine)) {
	r.change(name, func(held *entry) { change(&held.view) })
}

func (r *Registry) change(name string, change func(*entry)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.engines[name]
	if !known {
		held = &entry{view: Engine{Name: name}}
		r.engines[name] = held
	}
	change(held)
}

// Engines returns all engines that were not removed, in name order.
func (r *Registry) Engines() []Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	views := make([]Engine, 0, len(r.engines))
	for _, held := range r.engines {
		if held.view.Machine.Address != "" && !held.view.Machine.Removed {
			views = append(views, held.view)
		}
	}
	sort.Slice(views, func(a, b int) bool { return views[a].Name < views[b].Name })
	return views
}

// OfService returns the engines of one service, in name order.
func (r *Registry) OfService(service string) []Engine {
	chosen := []Engine{}
	for _, view := range r.Engines() {
		if view.Machine.Service == service {
			chosen = append(chosen, view)
		}
	}
	return chosen
}

// Engine returns one engine.
func (r *Registry) Engine(name string) (Engine, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.engines[name]
	if !known {
		return Engine{}, false
	}
	return held.view, true
}

// Begin counts a request sent to an engine.
func (r *Registry) Begin(name string) {
	r.change(name, func(held *entry) { held.record(1, time.Now()) })
}

// End counts the end of a request. Consecutive failures eject the engine for
// a time that doubles; a success ends the ejection.
func (r *Registry) End(name string, failed bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	held, known := r.engines[name]
	if !known {
		return
	}
	held.record(-1, now)
	if !failed {
		held.failures = 0
		held.view.EjectedUntil = time.Time{}
		return
	}
	held.failures++
	if held.failures >= ejectAfterFailures {
		pause := ejectBase << min(held.failures-ejectAfterFailures, 6)
		held.view.EjectedUntil = now.Add(min(pause, ejectCeiling))
	}
}

// FromMachine makes the record of a machine list entry.
func FromMachine(machine storage.Machine) MachineRecord {
	return MachineRecord{Address: machine.Address, Service: machine.Service, Leaving: machine.State == storage.MachineLeaving}
}
