package table

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/periodic"
)

const (
	// awayFailures is how many calls in a row must have come to nothing for the store to
	// be taken for away: one may be lost or refused by itself.
	awayFailures = 3
	// returnProbe is the mean pause between two reads that ask whether the store is back,
	// by one waiter for all: a sixth of the shortest time that callers wait, 1.4 s.
	returnProbe = 200 * time.Millisecond
	// returnProbeTimeout bounds one such read.
	returnProbeTimeout = 500 * time.Millisecond
	// returnSpread is the time over which the waiters of a fleet go on behind the return
	// of the store, so that it does not get all their calls at one moment.
	returnSpread = 200 * time.Millisecond
)

// Availability is a store that remembers whether calls to it are answered, so that callers
// wait for its return in place of trying each for itself. A call is answered also by a
// refusal that the store made from its rows, as a conflict. Safe for concurrent use; mutex
// guards the fields behind it.
type Availability struct {
	Store
	// ProbeTable is read to find out whether the store is back.
	ProbeTable string

	// probing is held by the waiter that asks for all.
	probing chan struct{}

	mutex    sync.Mutex
	failures int
	// failingSince is when the first of the failures in a row came, and failedAt the last.
	failingSince time.Time
	failedAt     time.Time
	// returned is closed when the store is back.
	returned chan struct{}
}

var _ Store = (*Availability)(nil)

// NewAvailability wraps a store.
func NewAvailability(store Store, probeTable string) *Availability {
	return &Availability{Store: store, ProbeTable: probeTable, probing: make(chan struct{}, 1), returned: make(chan struct{})}
}

// AwayFor returns for how long the store has not answered, and whether it is taken for
// away.
func (a *Availability) AwayFor(now time.Time) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failures < awayFailures {
		return 0, false
	}
	return now.Sub(a.failingSince), true
}

// AwaitReturn waits until the store answers, if it is away; it reports false when the
// context ends first. Those who waited go on one after another.
func (a *Availability) AwaitReturn(ctx context.Context) bool {
	hasWaited := false
	for ctx.Err() == nil {
		_, isAway := a.AwayFor(time.Now())
		if !isAway {
			return !hasWaited || periodic.Sleep(ctx, rand.N(returnSpread))
		}
		hasWaited = true
		select {
		case <-ctx.Done():
			return false
		case <-a.whenBack():
		case a.probing <- struct{}{}:
			if !a.probe(ctx) {
				a.pause(ctx)
			}
			<-a.probing
		}
	}
	return false
}

// Recheck reports whether the store answers. A daemon that has made no call for a while
// may not have noticed that the store is back: it asks, unless a waiter does.
func (a *Availability) Recheck(ctx context.Context) bool {
	if !a.isStale(time.Now()) {
		return false
	}
	select {
	case a.probing <- struct{}{}:
		defer func() { <-a.probing }()
		return a.probe(ctx)
	default:
		return false
	}
}

// isStale reports whether the last failure lies so far back that the store may have
// returned since.
func (a *Availability) isStale(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Sub(a.failedAt) >= returnProbe
}

// pause waits until the next probe, or until another call finds the store back.
func (a *Availability) pause(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, returnProbe/2+rand.N(returnProbe))
	defer cancel()
	select {
	case <-bounded.Done():
	case <-a.whenBack():
	}
}

// whenBack returns what is closed when the store is back.
func (a *Availability) whenBack() chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.returned
}

// probe reads once and reports whether the store answered.
func (a *Availability) probe(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, returnProbeTimeout)
	defer cancel()
	_, err := a.Read(bounded, Range{Table: a.ProbeTable, Limit: 1})
	return !isUnserved(err)
}

// note learns from a call. One that its caller broke off tells nothing, and a store that
// throttles is there.
func (a *Availability) note(ctx context.Context, err error) {
	isBrokenOff := err != nil && errors.Is(ctx.Err(), context.Canceled)
	if isBrokenOff || isThrottled(err) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !isUnserved(err) {
		if a.failures >= awayFailures {
			close(a.returned)
			a.returned = make(chan struct{})
		}
		a.failures = 0
		return
	}
	if a.failures == 0 {
		a.failingSince = time.Now()
	}
	a.failedAt = time.Now()
	a.failures++
}

func isThrottled(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Kind == ErrorThrottled
}

// Commit implements Store.
func (a *Availability) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	version, err := a.Store.Commit(ctx, transaction)
	a.note(ctx, err)
	return version, err
}

// Read implements Store.
func (a *Availability) Read(ctx context.Context, wanted Range) (Page, error) {
	page, err := a.Store.Read(ctx, wanted)
	a.note(ctx, err)
	return page, err
}

// Partitions implements Store.
func (a *Availability) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	names, more, err := a.Store.Partitions(ctx, name, after)
	a.note(ctx, err)
	return names, more, err
}

// Watch implements Store.
func (a *Availability) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Changes, error) {
	changes, err := a.Store.Watch(ctx, name, after, wait)
	a.note(ctx, err)
	return changes, err
}

// PutObject implements Store.
func (a *Availability) PutObject(ctx context.Context, name string, content []byte) error {
	err := a.Store.PutObject(ctx, name, content)
	a.note(ctx, err)
	return err
}

// GetObject implements Store.
func (a *Availability) GetObject(ctx context.Context, name string) ([]byte, error) {
	content, err := a.Store.GetObject(ctx, name)
	a.note(ctx, err)
	return content, err
}
