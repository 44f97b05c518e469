package frontend

import (
	"log/slog"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
	"topazpulley/internal/topology"
)

const (
	// sectionRows is the least size of a section, and sectionBackends how many usable backends
	// of each service it has at least: enough for a zone of them to be lost, and for
	// a daemon's requests to find a place.
	sectionRows     = 192
	sectionBackends = 5
	// mostSectionRows bounds a section while a service has too few backends in the whole
	// table.
	mostSectionRows = 4096
	// manySections is how many times its size a section grows to before it is read anew.
	manySections = 3
	// crowdedShare is the part of a service's slots in use from which on a daemon looks
	// for more backends.
	crowdedShare = 0.8
	// shortestWiden and longestWiden bound the pause between two tries to know more backends;
	// it doubles while they remain too few.
	shortestWiden = time.Second
	longestWiden  = time.Minute
)

// sectionPlan decides which backends of a large fleet this daemon knows: those from its
// own place on the ring of ids on, until there are enough of each service that the
// configuration names. It is used by the follower of the backends alone.
type sectionPlan struct {
	place    float64
	decode   func(key string, value []byte) (backend.Instance, error)
	holder   *route.Holder
	backends *backend.Set
	log      *slog.Logger

	// readRows is the size of the section when it was last read.
	readRows int
	// wanted is how many usable backends are sought, where more than sectionBackends.
	wanted map[string]int
	// pause is the time between the last two tries for more, and pausedUntil when the
	// next is made at the earliest.
	pause       time.Duration
	pausedUntil time.Time
}

var _ table.SectionPlan = (*sectionPlan)(nil)

func newSectionPlan(daemon string, ports Ports, holder *route.Holder, backends *backend.Set, log *slog.Logger) *sectionPlan {
	return &sectionPlan{
		place: topology.RingPosition(daemon), decode: ports.DecodeInstance, holder: holder, backends: backends, log: log, wanted: map[string]int{},
	}
}

// Position implements table.SectionPlan.
func (p *sectionPlan) Position() float64 { return p.place }

// IsEnough implements table.SectionPlan.
func (p *sectionPlan) IsEnough(rows []table.Row) bool {
	p.readRows = len(rows)
	if len(rows) < sectionRows || len(rows) >= mostSectionRows {
		return len(rows) >= mostSectionRows
	}
	usable := map[string]int{}
	for _, row := range rows {
		if instance, err := p.decode(row.Key, row.Value); err == nil && !instance.Draining {
			usable[instance.Service]++
		}
	}
	for _, service := range p.services() {
		if usable[service] < p.wantedOf(service) {
			return false
		}
	}
	return true
}

// WantsMore implements table.SectionPlan.
func (p *sectionPlan) WantsMore() bool {
	now := time.Now()
	if now.Before(p.pausedUntil) {
		return false
	}
	isShort := false
	for _, service := range p.services() {
		isShort = p.isShortOf(service, now) || isShort
	}
	if !isShort {
		p.pause = 0
		return false
	}
	p.pause = min(max(2*p.pause, shortestWiden), longestWiden)
	p.pausedUntil = now.Add(p.pause)
	return true
}

// WantsLess implements table.SectionPlan: the table has grown since the section was read.
func (p *sectionPlan) WantsLess(rows int) bool {
	return rows > manySections*max(p.readRows, sectionRows)
}

// isShortOf reports whether too few backends of a service are known: many have gone, or
// those that are left have little room.
func (p *sectionPlan) isShortOf(service string, now time.Time) bool {
	load := p.backends.ServiceLoad(service, now)
	isCrowded := float64(load.Online+load.Batch) > crowdedShare*float64(load.Slots)
	if isCrowded {
		p.wanted[service] = 2 * max(load.Backends, sectionBackends)
	}
	isShort := isCrowded || load.Backends < (p.wantedOf(service)+1)/2
	if isShort {
		p.log.Info("more_backends_wanted", "service", service, "known", load.Backends, "wanted", p.wantedOf(service), "slots", load.Slots, "online", load.Online, "batch", load.Batch)
	}
	return isShort
}

func (p *sectionPlan) wantedOf(service string) int { return max(p.wanted[service], sectionBackends) }

// services are those to which the configuration in force sends requests.
func (p *sectionPlan) services() []string {
	current := p.holder.Current()
	if current == nil {
		return nil
	}
	return current.TargetServices()
}
