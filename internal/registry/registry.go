// Package registry keeps a daemon's view of the engines of its zone. It is built
// from the gossip items that supervisors and machine watchers publish, and from
// the requests that this daemon sends.
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

// MachineRecord is an engine's entry in the machine list.
type MachineRecord struct {
	Address string
	Service string
	Leaving bool
	// Removed marks an engine that was removed from the machine list.
	Removed bool
}

// EngineRecord is the part of a supervisor's report that rarely changes.
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

// LoadRecord is an engine's load. It is published often, so it must stay small.
type LoadRecord struct {
	Online  int
	Waiting int
	Batch   int
	// KVPermille is the used share of the KV cache in thousandths.
	KVPermille int
	// BatchWindow is the number of batch items that the engine may run.
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

// mustMarshal encodes a record. It panics if the record does not fit the schema.
func mustMarshal(schema avro.Schema, record any) []byte {
	encoded, err := avro.Marshal(schema, record)
	if err != nil {
		panic(errors.Wrap(err, "encode a gossip record"))
	}
	return encoded
}

// Engine is a copy of the registry's view of one engine.
type Engine struct {
	Name    string
	Machine MachineRecord
	Record  EngineRecord
	Load    LoadRecord
	// Known is true once a supervisor has reported the engine.
	Known bool
	// LoadAt is when the load report arrived.
	LoadAt time.Time
	// NetSince is the number of this daemon's requests begun minus those ended
	// since the load report was made. InFlight is the number of this daemon's
	// requests that the engine is running.
	NetSince int
	InFlight int
	// EjectedUntil is when the engine's ejection by this daemon ends.
	EjectedUntil time.Time
}

// Available reports whether the engine can take new work: it is neither leaving
// nor removed, and up and ready unless no supervisor has reported it.
func (e Engine) Available() bool {
	isUp := !e.Known || (e.Record.Up && e.Record.State == string(engine.StateReady))
	return isUp && !e.Machine.Leaving && !e.Machine.Removed
}

// Serving reports whether the engine is available and not ejected by this daemon.
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

// engineState is the mutable state of one engine. Registry's mutex guards it.
type engineState struct {
	view     Engine
	failures int
	// recent are the changes that the load report may not include, oldest first.
	recent []countChange
}

// countChange is the begin (+1) or end (-1) of a request of this daemon.
type countChange struct {
	at     time.Time
	change int
}

// record counts a begin or an end.
func (e *engineState) record(change int, now time.Time) {
	e.view.InFlight += change
	e.view.NetSince += change
	e.recent = append(e.recent, countChange{at: now, change: change})
	if len(e.recent) > maxRecentChanges {
		e.dropOldest(len(e.recent) - maxRecentChanges)
	}
}

// dropOldest removes the oldest changes.
func (e *engineState) dropOldest(count int) {
	for _, old := range e.recent[:count] {
		e.view.NetSince -= old.change
	}
	e.recent = slices.Delete(e.recent, 0, count)
}

// applyLoad applies a load report. The report includes the changes that are older
// than assumedReportLag.
func (e *engineState) applyLoad(load LoadRecord, now time.Time) {
	e.view.Load, e.view.LoadAt = load, now
	included := 0
	for included < len(e.recent) && e.recent[included].at.Before(now.Add(-assumedReportLag)) {
		included++
	}
	e.dropOldest(included)
}

// Registry holds the engines of the daemon's zone.
type Registry struct {
	mutex   sync.Mutex
	engines map[string]*engineState
	changed chan struct{}
}

const (
	ejectAfterFailures = 2
	ejectBase          = 500 * time.Millisecond
	ejectMax           = 8 * time.Second
	// assumedReportLag is the age of a load report when it arrives: the sum of
	// the engine's delay, the probe interval and the gossip delay.
	assumedReportLag = 300 * time.Millisecond
	maxRecentChanges = 4096
)

// New returns an empty registry.
func New() *Registry {
	return &Registry{engines: map[string]*engineState{}, changed: make(chan struct{}, 1)}
}

// Changed returns a channel that receives a value after a machine or engine
// record was applied. Several changes may cause only one value.
func (r *Registry) Changed() <-chan struct{} { return r.changed }

// Receive is the membership subscriber that applies gossip items.
func (r *Registry) Receive(event membership.Event) {
	if event.Kind == membership.EventItem {
		r.Apply(event.Item)
	}
}

// Apply applies one gossip item. Items with other key prefixes are ignored.
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
			r.change(item.Key[len(PrefixLoad):], func(state *engineState) { state.applyLoad(record, time.Now()) })
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
	r.change(name, func(state *engineState) { change(&state.view) })
}

func (r *Registry) change(name string, change func(*engineState)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, known := r.engines[name]
	if !known {
		state = &engineState{view: Engine{Name: name}}
		r.engines[name] = state
	}
	change(state)
}

// Engines returns the engines of the machine list, in name order.
func (r *Registry) Engines() []Engine {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	views := make([]Engine, 0, len(r.engines))
	for _, state := range r.engines {
		if state.view.Machine.Address != "" && !state.view.Machine.Removed {
			views = append(views, state.view)
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

// Engine returns the engine with the given name.
func (r *Registry) Engine(name string) (Engine, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, known := r.engines[name]
	if !known {
		return Engine{}, false
	}
	return state.view, true
}

// Begin counts a request sent to an engine.
func (r *Registry) Begin(name string) {
	r.change(name, func(state *engineState) { state.record(1, time.Now()) })
}

// End counts the end of a request. From the second consecutive failure, each
// failure ejects the engine, at first for ejectBase and then for twice the
// previous time, up to ejectMax. A success ends the ejection.
func (r *Registry) End(name string, failed bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state, known := r.engines[name]
	if !known {
		return
	}
	state.record(-1, now)
	if !failed {
		state.failures = 0
		state.view.EjectedUntil = time.Time{}
		return
	}
	state.failures++
	if state.failures >= ejectAfterFailures {
		pause := ejectBase << min(state.failures-ejectAfterFailures, 6)
		state.view.EjectedUntil = now.Add(min(pause, ejectMax))
	}
}

// FromMachine returns the record of a machine list entry.
func FromMachine(machine storage.Machine) MachineRecord {
	return MachineRecord{Address: machine.Address, Service: machine.Service, Leaving: machine.State == storage.MachineLeaving}
}
