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
	// failureThreshold is the number of consecutive failed calls after which the store
	// counts as unavailable.
	failureThreshold = 3
	// recoveryProbeInterval is the mean interval between two probes of an unavailable
	// store. One waiter probes for all.
	recoveryProbeInterval = 200 * time.Millisecond
	// recoveryProbeTimeout bounds one probe.
	recoveryProbeTimeout = 500 * time.Millisecond
	// resumeJitter is the maximum random delay before a waiter resumes, so that a store
	// that has recovered doesn't get all calls at once.
	resumeJitter = 200 * time.Millisecond
)

// Availability wraps a store and tracks whether it answers, so that callers can wait for
// its recovery instead of retrying individually. Errors that the store derives from its
// data, such as conflicts, count as answers. It is safe for concurrent use; mutex guards
// the fields below it.
type Availability struct {
	Store
	// ProbeTable is the table that probes read.
	ProbeTable string

	// probing is a semaphore: the waiter that holds it probes for all.
	probing chan struct{}

	mutex    sync.Mutex
	failures int
	// failingSince is the time of the first consecutive failure, and failedAt of the last.
	failingSince time.Time
	failedAt     time.Time
	// recovered is closed when the store answers again.
	recovered chan struct{}
}

var _ Store = (*Availability)(nil)

// NewAvailability wraps a store. Probes read probeTable.
func NewAvailability(store Store, probeTable string) *Availability {
	return &Availability{Store: store, ProbeTable: probeTable, probing: make(chan struct{}, 1), recovered: make(chan struct{})}
}

// AwayFor returns for how long the store has not answered, and whether it counts as
// unavailable.
func (a *Availability) AwayFor(now time.Time) (time.Duration, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.failures < failureThreshold {
		return 0, false
	}
	return now.Sub(a.failingSince), true
}

// AwaitReturn waits until the store answers if it is unavailable. It reports false when
// the context ends first. Callers that waited resume after a random delay.
func (a *Availability) AwaitReturn(ctx context.Context) bool {
	hasWaited := false
	for ctx.Err() == nil {
		_, isUnavailable := a.AwayFor(time.Now())
		if !isUnavailable {
			return !hasWaited || periodic.Sleep(ctx, rand.N(resumeJitter))
		}
		hasWaited = true
		select {
		case <-ctx.Done():
			return false
		case <-a.recoverySignal():
		case a.probing <- struct{}{}:
			if !a.probe(ctx) {
				a.pause(ctx)
			}
			<-a.probing
		}
	}
	return false
}

// Recheck probes the store and reports whether it answers. It reports false without a
// probe if the last failure is recent or a waiter is probing already.
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

// isStale reports whether the last failure is old enough for another probe.
func (a *Availability) isStale(now time.Time) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return now.Sub(a.failedAt) >= recoveryProbeInterval
}

// pause waits until the next probe is due or another call finds that the store answers.
func (a *Availability) pause(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, recoveryProbeInterval/2+rand.N(recoveryProbeInterval))
	defer cancel()
	select {
	case <-bounded.Done():
	case <-a.recoverySignal():
	}
}

// recoverySignal returns a channel that is closed when the store answers again.
func (a *Availability) recoverySignal() chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.recovered
}

// probe reads one row and reports whether the store answered.
func (a *Availability) probe(ctx context.Context) bool {
	bounded, cancel := context.WithTimeout(ctx, recoveryProbeTimeout)
	defer cancel()
	_, err := a.Read(bounded, Range{Table: a.ProbeTable, Limit: 1})
	return !isUnserved(err)
}

// recordResult updates the state from the result of a call. Canceled and throttled calls
// are ignored.
func (a *Availability) recordResult(ctx context.Context, err error) {
	isCanceled := err != nil && errors.Is(ctx.Err(), context.Canceled)
	if isCanceled || isThrottled(err) {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !isUnserved(err) {
		if a.failures >= failureThreshold {
			close(a.recovered)
			a.recovered = make(chan struct{})
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

func isThrottled(err error) bool { return IsKind(err, ErrorThrottled) }

// Commit implements Store.
func (a *Availability) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	version, err := a.Store.Commit(ctx, transaction)
	a.recordResult(ctx, err)
	return version, err
}

// Read implements Store.
func (a *Availability) Read(ctx context.Context, wanted Range) (Page, error) {
	page, err := a.Store.Read(ctx, wanted)
	a.recordResult(ctx, err)
	return page, err
}

// Partitions implements Store.
func (a *Availability) Partitions(ctx context.Context, name, after string) ([]string, bool, error) {
	names, more, err := a.Store.Partitions(ctx, name, after)
	a.recordResult(ctx, err)
	return names, more, err
}

// Watch implements Store.
func (a *Availability) Watch(ctx context.Context, name string, after Version, wait time.Duration) (Changes, error) {
	changes, err := a.Store.Watch(ctx, name, after, wait)
	a.recordResult(ctx, err)
	return changes, err
}

// PutObject implements Store.
func (a *Availability) PutObject(ctx context.Context, name string, content []byte) error {
	err := a.Store.PutObject(ctx, name, content)
	a.recordResult(ctx, err)
	return err
}

// DropObject implements Store.
func (a *Availability) DropObject(ctx context.Context, name string) error {
	err := a.Store.DropObject(ctx, name)
	a.recordResult(ctx, err)
	return err
}

// Objects implements Store.
func (a *Availability) Objects(ctx context.Context, prefix, after string) ([]string, bool, error) {
	names, more, err := a.Store.Objects(ctx, prefix, after)
	a.recordResult(ctx, err)
	return names, more, err
}

// GetObject implements Store.
func (a *Availability) GetObject(ctx context.Context, name string) ([]byte, error) {
	content, err := a.Store.GetObject(ctx, name)
	a.recordResult(ctx, err)
	return content, err
}
