package serving

import (
	"context"
	"sync"
	"time"

	"topazpulley/internal/watchdog"
)

// standby watches an attempt for silence. A silent attempt is not ended before another backend has
// taken the request over, because its own may go on: a search for a successor runs beside it, and
// whichever comes first counts. Output ends the search; a successor ends the attempt. Thus never
// more than one of them passes output to the caller. If the attempt fails, no further backend is
// asked, but the one that is being asked may still take the request over.
//
// The search works on a copy of the exchange. It runs only while the exchange's goroutine waits
// for output, which then waits for its end and takes the counts of the copy over.
//
// The methods of a nil standby do nothing: attempts after which none may follow have no standby.
type standby struct {
	exchange *exchange
	// request is the context of the request, and endAttempt ends the attempt.
	request    context.Context
	endAttempt context.CancelFunc
	watched    *watchdog.Watchdog

	// mutex guards the fields below.
	mutex sync.Mutex
	// isAwaiting is set while the exchange waits for output.
	isAwaiting bool
	search     *search
	successor  *successor
}

// search is a running search for a successor.
type search struct {
	began time.Time
	// worker is the copy of the exchange on which the search works.
	worker *exchange
	// endProbes lets no further backend be asked, and end also ends the present probe.
	endProbes, end context.CancelFunc
	// ended is closed when the search has ended.
	ended chan struct{}

	// isRetryPaid is set if the search has spent a retry.
	isRetryPaid bool
	// preemptions counts the batch items that the search has preempted.
	preemptions int
}

// mayPreempt counts a batch item that the search is about to preempt, and reports whether it may.
func (s *search) mayPreempt() bool {
	if s.preemptions >= maxSearchPreemptions {
		return false
	}
	s.preemptions++
	return true
}

// successor is a backend that takes a request over from a silent attempt.
type successor struct {
	// reserved is the reservation with which the request is sent.
	reserved reservedSlot
	// beside is the attempt that was made beside the silent one; nil if the request is yet to be sent.
	beside *besideAttempt
}

// startStandby watches an attempt that begins now. It returns nil if the request may not run again.
func (e *exchange) startStandby(request context.Context, endAttempt context.CancelFunc) *standby {
	started := &standby{exchange: e, request: request, endAttempt: endAttempt, isAwaiting: true}
	started.watched = e.startWatchdog(started.run)
	if started.watched == nil {
		return nil
	}
	return started
}

// await begins to wait for further output.
func (s *standby) await() {
	if s == nil {
		return
	}
	s.mutex.Lock()
	s.isAwaiting = true
	s.mutex.Unlock()
	s.watched.Feed()
}

// arrived ends the wait for output, because there is some or the attempt has ended. It returns
// false if a successor has taken the request over: the attempt's output no longer counts.
func (s *standby) arrived() bool {
	if s == nil {
		return true
	}
	s.watched.Stop()
	s.mutex.Lock()
	s.isAwaiting = false
	running := s.search
	s.search = nil
	s.mutex.Unlock()
	if running == nil {
		return true
	}
	running.end()
	<-running.ended
	s.exchange.absorb(running.worker)
	s.exchange.recordSearch(running, s.successor != nil)
	return s.successor == nil
}

// ended ends the wait for output of an attempt that has ended whole, and drops a successor that has
// just taken over: the request needs none.
func (s *standby) ended() {
	s.arrived()
	if dropped := s.takeSuccessor(); dropped != nil {
		s.exchange.discard(dropped)
	}
}

// failed ends the wait for output because the attempt has failed. A backend that a search is asking
// now is waited for: it may take the request over.
func (s *standby) failed() {
	if s == nil {
		return
	}
	s.watched.Stop()
	s.mutex.Lock()
	running := s.search
	s.isAwaiting = running != nil
	s.mutex.Unlock()
	if running != nil {
		running.endProbes()
		<-running.ended
	}
	s.arrived()
}

// run looks for a successor. The watchdog calls it when the attempt is silent for too long.
func (s *standby) run() {
	s.mutex.Lock()
	if !s.isAwaiting || s.search != nil {
		s.mutex.Unlock()
		return
	}
	ctx, end := context.WithCancel(s.request)
	defer end()
	probing, endProbes := context.WithCancel(ctx)
	defer endProbes()
	running := &search{began: time.Now(), endProbes: endProbes, end: end, ended: make(chan struct{})}
	running.worker = s.exchange.copyFor(running)
	s.search = running
	s.mutex.Unlock()
	defer close(running.ended)
	found := running.worker.findSuccessor(probing, ctx, s.request)
	if found != nil && !s.take(found) {
		running.worker.discard(found)
	}
}

// take makes a successor that was found take over, unless there was output meanwhile, and reports
// whether it did.
func (s *standby) take(found *successor) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isAwaiting {
		return false
	}
	s.successor = found
	s.endAttempt()
	return true
}

// takeSuccessor returns the successor, if any, which the caller then owns.
func (s *standby) takeSuccessor() *successor {
	if s == nil {
		return nil
	}
	taken := s.successor
	s.successor = nil
	return taken
}
