// Package responsetimeout decides how long an attempt at a backend may stay silent before the
// request is sent elsewhere. It learns what a service's answers take: silence is judged by
// that, and a service that is slow everywhere raises it by itself. The load it answers:
// plain work of 15 ms whose callers want it within 200 ms and wait for a second, at backends
// that swallow requests because a zone is cut off.
package responsetimeout

import (
	"sync"
	"time"
)

// Mode is how patience is found.
type Mode string

// The modes.
const (
	// ModeLearned goes by a late quantile of what answers took.
	ModeLearned Mode = "learned"
	// ModeFixed goes by a fixed part of the objective.
	ModeFixed Mode = "fixed"
	// ModeObjectives waits for several objectives.
	ModeObjectives Mode = "objectives"
)

// IsValid reports whether the mode is known.
func (m Mode) IsValid() bool { return m == ModeLearned || m == ModeFixed || m == ModeObjectives }

// Kind is what is waited for.
type Kind uint8

// The kinds.
const (
	// KindComplete is an answer that is passed on whole.
	KindComplete Kind = iota
	// KindFirstEvent is the first event of a stream. Its time depends on the prompt and
	// on what else the backend reads, far more than that of plain work.
	KindFirstEvent
)

const (
	// completeObjectives and eventPatience are the longest patience, in objectives: what is
	// later than that is late whoever answers.
	completeObjectives   = 3
	firstEventObjectives = 4
	// fixedPart is the patience of ModeFixed, and until enough is learned, as one in so
	// many parts of the objective: the other half is left to another backend.
	fixedPart = 2
	// floorPart is the shortest patience in the same way: a delay of the network and of a
	// busy daemon, 25 ms of 200, says nothing of a backend.
	floorPart = 8
	// lateQuantile is the quantile of learned times, and margin what silence must last
	// beyond it: of a hundred answers one is later than the quantile, and few of those
	// later than half as long again.
	lateQuantile = 0.99
	margin       = 1.5
	// leastSamples is how many answers must be known; of fewer than a hundred the longest
	// stands for the quantile. A daemon of a large fleet answers three plain requests of a
	// service a second: with a hundred nothing was learned for half a minute.
	leastSamples = 25
)

// Timeouts is how long one attempt may stay silent.
type Timeouts struct {
	// Early is after how long the request goes elsewhere if the budget allows.
	Early time.Duration
	// Latest is after how long it goes elsewhere in any case.
	Latest time.Duration
	// Learned is the quantile on which Early rests, 0 if too little is known.
	Learned time.Duration
}

// key names what is learned together.
type key struct {
	service string
	kind    Kind
}

// Estimates learns the times of services. It is safe for concurrent use; mutex guards times.
type Estimates struct {
	mode Mode

	mutex sync.Mutex
	times map[key]*times
}

// NewEstimates returns a book in which nothing is learned yet.
func NewEstimates(mode Mode) *Estimates { return &Estimates{mode: mode, times: map[key]*times{}} }

// PrefersOtherZones reports whether a request that leaves a silent backend prefers other zones.
// Without early ends there is no time left for a choice among few backends.
func (b *Estimates) PrefersOtherZones() bool { return b.mode != ModeObjectives }

// Observe notes what a good answer took. Attempts that were broken off as silent are not
// noted: the budget of early ends leaves most attempts of a service that is slow everywhere
// to their end, and those tell.
func (b *Estimates) Observe(service string, kind Kind, took time.Duration) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	name := key{service: service, kind: kind}
	learned := b.times[name]
	if learned == nil {
		learned = &times{}
		b.times[name] = learned
	}
	learned.add(took)
}

// For returns the patience with an attempt for a service.
func (b *Estimates) For(service string, kind Kind, objective time.Duration) Timeouts {
	latest := completeObjectives * objective
	if kind == KindFirstEvent {
		latest = firstEventObjectives * objective
	}
	learned := b.learned(service, kind)
	return Timeouts{Early: b.early(kind, objective, learned, latest), Latest: latest, Learned: learned}
}

// early returns the patience while the budget lasts.
func (b *Estimates) early(kind Kind, objective, learned, latest time.Duration) time.Duration {
	switch {
	case b.mode == ModeObjectives:
		return latest
	case b.mode == ModeFixed && kind == KindComplete:
		return objective / fixedPart
	case b.mode == ModeFixed:
		return objective
	case learned == 0 && kind == KindFirstEvent:
		return latest
	case learned == 0:
		return objective / fixedPart
	}
	shortest := objective / floorPart
	if kind == KindFirstEvent {
		// A backend at work on a long prompt is silent too, and its work is lost with
		// the attempt: nothing is broken off before it is late.
		shortest = objective
	}
	return min(max(time.Duration(margin*float64(learned)), shortest), latest)
}

// learned returns the late quantile, 0 if too little is known.
func (b *Estimates) learned(service string, kind Kind) time.Duration {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.times[key{service: service, kind: kind}]
	if known == nil || known.total < leastSamples {
		return 0
	}
	return known.quantile(lateQuantile)
}
