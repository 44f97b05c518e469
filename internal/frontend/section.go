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
	// sectionRows is the minimum size of a section, and sectionBackends the minimum number of
	// usable backends of each service in it. They allow for the loss of a zone.
	sectionRows     = 192
	sectionBackends = 5
	// maxSectionRows bounds a section if the table has too few backends of a service.
	maxSectionRows = 4096
	// sectionGrowth is the factor by which a section may grow before it is read again.
	sectionGrowth = 3
	// overloadShare is the fraction of a service's slots in use above which the section is
	// widened.
	overloadShare = 0.8
	// minWidenPause and maxWidenPause bound the pause between two attempts to widen the
	// section. The pause doubles while there are too few backends.
	minWidenPause = time.Second
	maxWidenPause = time.Minute
)

// sectionPlan decides which backends a daemon of a large fleet follows: a section of the ring of
// backend ids that starts at the daemon's own position and ends where it has enough backends of
// each service in use. Only the follower of the backends uses it.
type sectionPlan struct {
	position float64
	decode   func(key string, value []byte) (backend.Instance, error)
	holder   *route.Holder
	backends *backend.Set
	log      *slog.Logger

	// readRows is the size of the section when it was last read.
	readRows int
	// wanted is the number of usable backends sought for a service, if more than
	// sectionBackends.
	wanted map[string]int
	// pause is the time between the last two attempts to widen the section, and pausedUntil
	// the earliest time of the next.
	pause       time.Duration
	pausedUntil time.Time
}

var _ table.SectionPlan = (*sectionPlan)(nil)

func newSectionPlan(daemon string, ports Ports, holder *route.Holder, backends *backend.Set, log *slog.Logger) *sectionPlan {
	return &sectionPlan{
		position: topology.RingPosition(daemon), decode: ports.DecodeInstance, holder: holder, backends: backends, log: log, wanted: map[string]int{},
	}
}

// Position implements table.SectionPlan.
func (p *sectionPlan) Position() float64 { return p.position }

// IsEnough implements table.SectionPlan.
func (p *sectionPlan) IsEnough(rows []table.Row) bool {
	p.readRows = len(rows)
	if len(rows) < sectionRows || len(rows) >= maxSectionRows {
		return len(rows) >= maxSectionRows
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
	p.pause = min(max(2*p.pause, minWidenPause), maxWidenPause)
	p.pausedUntil = now.Add(p.pause)
	return true
}

// WantsLess implements table.SectionPlan. It reports whether the section has outgrown its size
// at the last read.
func (p *sectionPlan) WantsLess(rows int) bool {
	return rows > sectionGrowth*max(p.readRows, sectionRows)
}

// isShortOf reports whether too few backends of a service are known: fewer than half of the
// wanted number, or too few free slots. In the latter case it raises the wanted number.
func (p *sectionPlan) isShortOf(service string, now time.Time) bool {
	load := p.backends.ServiceLoad(service, now)
	isOverloaded := float64(load.Online+load.Batch) > overloadShare*float64(load.Slots)
	if isOverloaded {
		p.wanted[service] = 2 * max(load.Backends, sectionBackends)
	}
	isShort := isOverloaded || load.Backends < (p.wantedOf(service)+1)/2
	if isShort {
		p.log.Info("more_backends_wanted", "service", service, "known", load.Backends, "wanted", p.wantedOf(service), "slots", load.Slots, "online", load.Online, "batch", load.Batch)
	}
	return isShort
}

func (p *sectionPlan) wantedOf(service string) int { return max(p.wanted[service], sectionBackends) }

// services returns the services to which the current configuration routes requests.
func (p *sectionPlan) services() []string {
	current := p.holder.Current()
	if current == nil {
		return nil
	}
	return current.TargetServices()
}
