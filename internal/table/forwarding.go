package table

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/periodic"
)

const (
	// probeInterval is the mean interval between two probes while the store does not
	// serve this daemon.
	probeInterval = 500 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 500 * time.Millisecond
)

// Forwarding calls the store directly, or through another daemon while the store
// does not serve this one. The store may refuse, throttle or drop the calls of some
// daemons only. Watches are never forwarded. mutex guards the fields below it.
type Forwarding struct {
	// Direct calls the store from this daemon.
	Direct Store
	// Peers makes calls through other daemons. It returns ErrorNotDone if no daemon can
	// make the call.
	Peers Store
	// HasPeers reports whether there are other daemons.
	HasPeers func() bool
	// ProbeTable is the table that probes read.
	ProbeTable string
	Logger     *slog.Logger

	// lost is signaled when the store stops serving this daemon.
	lost chan struct{}

	mutex  sync.Mutex
	isLost bool
	// answeredAt is when the store last answered a direct call.
	answeredAt time.Time
}

var _ Store = (*Forwarding)(nil)

// NewForwarding returns a store that calls direct, or peers while direct fails. Run must
// run for direct calls to resume.
func NewForwarding(direct, peers Store, probeTable string, logger *slog.Logger) *Forwarding {
	return &Forwarding{
		Direct: direct, Peers: peers, HasPeers: func() bool { return false }, ProbeTable: probeTable, Logger: logger,
		lost: make(chan struct{}, 1),
	}
}

// Run probes the store periodically while it does not serve this daemon, until the
// context ends.
func (f *Forwarding) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.lost:
		}
		for !f.IsServed() && periodic.SleepAbout(ctx, probeInterval) {
			f.probe(ctx)
		}
	}
}

// IsServed reports whether the store serves this daemon, by the last call or probe.
func (f *Forwarding) IsServed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isLost
}

// hasAnsweredRecently reports whether the store answered a direct call within recentAnswerTime.
func (f *Forwarding) hasAnsweredRecently() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.answeredAt) < recentAnswerTime
}

// recordResult updates the state from the result of a direct call.
func (f *Forwarding) recordResult(err error) {
	isLost := isUnserved(err)
	f.mutex.Lock()
	wasLost := f.isLost
	f.isLost = f.isLost || isLost
	if !isLost {
		f.answeredAt = time.Now()
	}
	f.mutex.Unlock()
	if !isLost || wasLost {
		return
	}
	f.Logger.Warn("store_path_lost", "error", err)
	select {
	case f.lost <- struct{}{}:
	default:
	}
}

// probe reads one row and resumes direct calls if the store answers.
func (f *Forwarding) probe(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := f.Direct.Read(bounded, Range{Table: f.ProbeTable, Limit: 1})
	if isUnserved(err) {
		return
	}
	f.mutex.Lock()
	f.isLost, f.answeredAt = false, time.Now()
	f.mutex.Unlock()
	f.Logger.Info("store_path_regained")
}

// isUnserved reports whether an error means that the store did not serve the call. Other
// errors, such as conflicts, are answers.
func isUnserved(err error) bool {
	var failed *Error
	if !errors.As(err, &failed) {
		return false
	}
	return failed.Kind == ErrorNotDone || failed.Kind == ErrorThrottled || failed.Kind == ErrorUnknown
}

// isNotDone reports whether a failed call certainly changed nothing.
func isNotDone(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && (failed.Kind == ErrorNotDone || failed.Kind == ErrorThrottled)
}

const (
	// directShare divides a call's remaining time: a direct call gets one part of
	// directShare, the rest is left for a call through a peer.
	directShare = 2
	// recentAnswerTime is how long after an answer a direct call gets its full time. This
	// way, calls to a slow store are not made through a peer too.
	recentAnswerTime = 3 * time.Second
)

// directContext bounds a direct call.
func (f *Forwarding) directContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, isBounded := ctx.Deadline()
	if !isBounded || !f.HasPeers() || f.hasAnsweredRecently() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/directShare)
}

// forward makes a call directly or, while the store does not serve this daemon, through
// a peer. A call that may have been carried out is repeated only if isRead is set, that
// is, if it is idempotent.
func forward[A any](ctx context.Context, f *Forwarding, isRead bool, call func(context.Context, Store) (A, error)) (A, error) {
	if !f.IsServed() {
		answer, err := call(ctx, f.Peers)
		if !isNotDone(err) {
			return answer, err
		}
	}
	bounded, cancel := f.directContext(ctx)
	defer cancel()
	answer, err := call(bounded, f.Direct)
	f.recordResult(err)
	mayRepeat := isNotDone(err) || (isRead && isUnserved(err))
	if !mayRepeat {
		return answer, err
	}
	forwarded, forwardedErr := call(ctx, f.Peers)
	if isNotDone(forwardedErr) {
		return answer, err
	}
	return forwarded, forwardedErr
}

// Commit implements Store.
func (f *Forwarding) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	return forward(ctx, f, false, func(ctx context.Context, store Store) (Version, error) { return store.Commit(ctx, transaction) })
}

// Read implements Store.
func (f *Forwarding) Read(ctx context.Context, wanted Range) (Page, error) {
	return forward(ctx, f, true, func(ctx context.Context, store Store) (Page, error) { return store.Read(ctx, wanted) })
}

// partitionPage is one answer of Partitions.
type partitionPage struct {
	names []string
	more  bool
}

// Partitions implements Store.
func (f *Forwarding) Partitions(ctx context.Context, table, after string) ([]string, bool, error) {
	page, err := forward(ctx, f, true, func(ctx context.Context, store Store) (partitionPage, error) {
		names, more, err := store.Partitions(ctx, table, after)
		return partitionPage{names: names, more: more}, err
	})
	return page.names, page.more, err
}

// Watch implements Store.
func (f *Forwarding) Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	changes, err := f.Direct.Watch(ctx, table, after, wait)
	f.recordResult(err)
	return changes, err
}

// PutObject implements Store. It is idempotent, so it may be repeated.
func (f *Forwarding) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := forward(ctx, f, true, func(ctx context.Context, store Store) (struct{}, error) {
		return struct{}{}, store.PutObject(ctx, name, content)
	})
	return err
}

// DropObject implements Store. It is not forwarded: another daemon drops the object later.
func (f *Forwarding) DropObject(ctx context.Context, name string) error {
	return f.Direct.DropObject(ctx, name)
}

// Objects implements Store. It is not forwarded.
func (f *Forwarding) Objects(ctx context.Context, prefix, after string) ([]string, bool, error) {
	return f.Direct.Objects(ctx, prefix, after)
}

// GetObject implements Store.
func (f *Forwarding) GetObject(ctx context.Context, name string) ([]byte, error) {
	return forward(ctx, f, true, func(ctx context.Context, store Store) ([]byte, error) { return store.GetObject(ctx, name) })
}
