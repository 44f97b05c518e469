// Package responsetimeout computes how long an attempt at a backend may take to respond
// before the request is retried at another backend. Callers report the response times of
// successful attempts to Estimates; the timeouts follow a high quantile of them, so a
// service that is slow at all backends gets longer timeouts.
package responsetimeout

import (
	"sync"
	"time"
)

// Mode is the way timeouts are computed.
type Mode string

// The modes.
const (
	// ModeLearned derives timeouts from a high quantile of observed response times.
	ModeLearned Mode = "learned"
	// ModeFixed uses a fixed fraction of the objective, or the objective for streams.
	ModeFixed Mode = "fixed"
	// ModeObjectives uses a multiple of the objective, without early timeouts.
	ModeObjectives Mode = "objectives"
)

// IsValid reports whether the mode is one of the above.
func (m Mode) IsValid() bool { return m == ModeLearned || m == ModeFixed || m == ModeObjectives }

// Kind is the part of a response that a timeout applies to.
type Kind uint8

// The kinds.
const (
	// KindComplete is a complete response.
	KindComplete Kind = iota
	// KindFirstEvent is the first event of a stream. Its time depends on the length of
	// the prompt and on the other prompts that the backend processes.
	KindFirstEvent
)

const (
	// completeObjectives and firstEventObjectives are the longest timeouts, as multiples of
	// the objective. A response that takes longer is late whichever backend sends it.
	completeObjectives   = 3
	firstEventObjectives = 4
	// fixedDivisor gives the early timeout of complete responses in ModeFixed, and in
	// ModeLearned with too few samples: the objective divided by it. The remaining time is
	// for another backend.
	fixedDivisor = 2
	// floorDivisor gives the shortest learned timeout of complete responses: the objective
	// divided by it. The network or a busy daemon can cause shorter delays.
	floorDivisor = 8
	// The learned timeout is the quantile timeoutQuantile of the response times,
	// multiplied by timeoutFactor: of a hundred responses one is later than the quantile, and
	// few of those are later than half as long again.
	timeoutQuantile = 0.99
	timeoutFactor   = 1.5
	// minSamples is the minimum number of response times to compute a quantile from; of fewer
	// than a hundred the longest is used. A daemon of a large fleet serves about three plain
	// requests of a service a second, and would learn nothing for half a minute with a hundred.
	minSamples = 25
)

// Timeouts holds the response timeouts of one attempt.
type Timeouts struct {
	// Early is the timeout if the retry budget allows another attempt.
	Early time.Duration
	// Latest is the timeout regardless of the budget.
	Latest time.Duration
	// Learned is the quantile that Early is derived from, 0 if there are too few samples.
	Learned time.Duration
}

// key identifies one histogram of response times.
type key struct {
	service string
	kind    Kind
}

// Estimates holds the response times of services by kind. It is safe for concurrent use;
// mutex guards times.
type Estimates struct {
	mode Mode

	mutex sync.Mutex
	times map[key]*times
}

// NewEstimates returns estimates without samples.
func NewEstimates(mode Mode) *Estimates { return &Estimates{mode: mode, times: map[key]*times{}} }

// PrefersOtherZones reports whether a request prefers other zones after a response
// timeout. It is false in ModeObjectives, whose timeouts leave too little time for that.
func (e *Estimates) PrefersOtherZones() bool { return e.mode != ModeObjectives }

// Observe records the response time of a successful attempt. Attempts that timed out are
// not recorded: the budget of early timeouts lets most attempts at a slow service
// complete, and these give its response times.
func (e *Estimates) Observe(service string, kind Kind, elapsed time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	name := key{service: service, kind: kind}
	known := e.times[name]
	if known == nil {
		known = &times{}
		e.times[name] = known
	}
	known.add(elapsed)
}

// For returns the timeouts of an attempt for a service.
func (e *Estimates) For(service string, kind Kind, objective time.Duration) Timeouts {
	latest := completeObjectives * objective
	if kind == KindFirstEvent {
		latest = firstEventObjectives * objective
	}
	learned := e.learned(service, kind)
	return Timeouts{Early: e.early(kind, objective, learned, latest), Latest: latest, Learned: learned}
}

// early returns the timeout that applies while the budget allows retries.
func (e *Estimates) early(kind Kind, objective, learned, latest time.Duration) time.Duration {
	switch {
	case e.mode == ModeObjectives:
		return latest
	case e.mode == ModeFixed && kind == KindComplete:
		return objective / fixedDivisor
	case e.mode == ModeFixed:
		return objective
	case learned == 0 && kind == KindFirstEvent:
		return latest
	case learned == 0:
		return objective / fixedDivisor
	}
	shortest := objective / floorDivisor
	if kind == KindFirstEvent {
		// A backend that processes a long prompt sends nothing, and a timeout discards
		// that work. A stream does not time out before its objective.
		shortest = objective
	}
	return min(max(time.Duration(timeoutFactor*float64(learned)), shortest), latest)
}

// learned returns the quantile timeoutQuantile, 0 if there are too few samples.
func (e *Estimates) learned(service string, kind Kind) time.Duration {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	known := e.times[key{service: service, kind: kind}]
	if known == nil || known.total < minSamples {
		return 0
	}
	return known.quantile(timeoutQuantile)
}
