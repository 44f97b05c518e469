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
	prefixWave          = "wave/"
	rolloutInterval     = 200 * time.Millisecond
	waveRefreshInterval = 10 * time.Second
)

// waveRecord is the gossiped record of the current wave of a service's rollout.
type waveRecord struct {
	Revision int64
	Engines  []string
}

var waveSchema = avrocodec.MustParse(`{"type":"record","name":"Wave","fields":[
	{"name":"Revision","type":"long"},
	{"name":"Engines","type":{"type":"array","items":"string"}}]}`)

// waves holds the newest wave of each service and when this daemon last published it.
// mutex guards both.
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

// recordIfDue reports whether a wave has to be published: if it differs from the
// stored one, or if it has engines and was last published waveRefreshInterval ago. A
// wave that differs or whose refresh is due is stored with the current time.
func (w *waves) recordIfDue(service string, record waveRecord) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	last := w.byService[service]
	isSame := last.Revision == record.Revision && slices.Equal(last.Engines, record.Engines)
	if isSame && time.Since(w.sentAt[service]) < waveRefreshInterval {
		return false
	}
	w.byService[service] = record
	w.sentAt[service] = time.Now()
	return !isSame || len(record.Engines) > 0
}

// coordinateRollouts publishes the rollout waves of the services in this zone that are
// assigned to this daemon, until the context ends.
func (s *Supervisor) coordinateRollouts(ctx context.Context) {
	periodic.Run(ctx, rolloutInterval, s.publishWaves)
}

func (s *Supervisor) publishWaves() {
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
		if !s.waves.recordIfDue(service, record) {
			continue
		}
		payload, err := avro.Marshal(waveSchema, record)
		if err != nil {
			continue
		}
		s.node.Publish(membership.Item{Key: prefixWave + service, Zone: s.node.Self().Zone, Priority: membership.PriorityState, Payload: payload})
	}
}

// rolloutEngines returns the rollout state of a service's engines, without those that
// are leaving or have no record. models are the models of the target revision.
func (s *Supervisor) rolloutEngines(service string, models []string) []rollout.Engine {
	engines := []rollout.Engine{}
	for _, view := range s.registry.OfService(service) {
		if !view.Known || view.Machine.Leaving {
			continue
		}
		engines = append(engines, rollout.Engine{
			Name: view.Name, Fence: view.Record.Fence,
			Ready:    view.Record.Up && view.Record.State == string(engine.StateReady) && (len(view.Record.Models) > 0 || len(models) == 0),
			UpToDate: hasModels(view, models),
		})
	}
	return engines
}

// hasModels reports whether an engine has loaded exactly these models.
func hasModels(view registry.Engine, models []string) bool {
	loaded := slices.Clone(view.Record.Models)
	wanted := slices.Clone(models)
	sort.Strings(loaded)
	sort.Strings(wanted)
	return slices.Equal(loaded, wanted)
}
