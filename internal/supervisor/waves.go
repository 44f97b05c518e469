package supervisor

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/duty"
	"topazpulley/internal/engine"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/registry"
	"topazpulley/internal/rollout"
)

const (
	prefixWave       = "wave/"
	rolloutInterval  = 200 * time.Millisecond
	waveRefreshAfter = 10 * time.Second
)

// waveRecord is the gossip record of a rollout's present wave.
type waveRecord struct {
	Revision int64
	Engines  []string
}

var waveSchema = avrocodec.MustParse(`{"type":"record","name":"Wave","fields":[
	{"name":"Revision","type":"long"},
	{"name":"Engines","type":{"type":"array","items":"string"}}]}`)

// waves remembers the newest wave of each service.
type waves struct {
	mutex     sync.Mutex
	byService map[string]waveRecord
	sentAt    map[string]time.Time
}

func newWaves() *waves {
	return &waves{byService: map[string]waveRecord{}, sentAt: map[string]time.Time{}}
}

func (w *waves) receive(item membership.Item) {
	if !strings.HasPrefix(item.Key, prefixWave) {
		return
	}
	record := waveRecord{}
	if avrocodec.Unmarshal(waveSchema, item.Payload, &record) != nil {
		return
	}
	w.set(strings.TrimPrefix(item.Key, prefixWave), record)
}

func (w *waves) set(service string, record waveRecord) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.byService[service] = record
}

func (w *waves) includes(service string, revision int64, name string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	wave := w.byService[service]
	return wave.Revision == revision && slices.Contains(wave.Engines, name)
}

// changed reports whether a record differs from the last one sent or is due
// for a refresh, and remembers it as sent.
func (w *waves) changed(service string, record waveRecord) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	last := w.byService[service]
	isSame := last.Revision == record.Revision && slices.Equal(last.Engines, record.Engines)
	if isSame && time.Since(w.sentAt[service]) < waveRefreshAfter {
		return false
	}
	w.byService[service] = record
	w.sentAt[service] = time.Now()
	return !isSame || len(record.Engines) > 0
}

// coordinateRollouts computes the waves of the services in this zone whose
// rollout duty falls to this daemon.
func (s *Supervisor) coordinateRollouts(ctx context.Context) {
	periodic.Run(ctx, rolloutInterval, s.coordinateOnce)
}

func (s *Supervisor) coordinateOnce() {
	current, active := s.holder.Current()
	if active == nil {
		return
	}
	names := s.node.ZoneNames()
	for service, definition := range active.Services {
		if duty.Owner("rollout/"+service, names) != s.node.Self().Name {
			continue
		}
		wave := rollout.NextWave(s.rolloutEngines(service, modelsFor(active, service)), current.Number, definition.MaxUnavailable)
		record := waveRecord{Revision: current.Number, Engines: wave}
		if !s.waves.changed(service, record) {
			continue
		}
		payload, err := avro.Marshal(waveSchema, record)
		if err != nil {
			continue
		}
		s.node.Publish(membership.Item{Key: prefixWave + service, Zone: s.node.Self().Zone, Priority: membership.PriorityState, Payload: payload})
	}
}

func (s *Supervisor) rolloutEngines(service string, models []string) []rollout.Engine {
	engines := []rollout.Engine{}
	for _, view := range s.registry.OfService(service) {
		if !view.Known || view.Machine.Leaving {
			continue
		}
		engines = append(engines, rollout.Engine{
			Name: view.Name, Fence: view.Record.Fence,
			Ready:    view.Record.Up && view.Record.State == string(engine.StateReady) && (len(view.Record.Models) > 0 || len(models) == 0),
			UpToDate: sameModels(view, models),
		})
	}
	return engines
}

func sameModels(view registry.Engine, models []string) bool {
	loaded := slices.Clone(view.Record.Models)
	wanted := slices.Clone(models)
	sort.Strings(loaded)
	sort.Strings(wanted)
	return slices.Equal(loaded, wanted)
}
