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
	// probeInterval is the pause between two looks whether the store serves this
	// daemon again, and probeTimeout bounds one: a slow store answers in half of
	// it.
	probeInterval = 500 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// Forwarding is a store that is called through another daemon while it does not
// serve this one: it may refuse, throttle or drop some daemons and serve the
// others. Watches are never forwarded. mutex guards the fields behind it.
type Forwarding struct {
	// Direct is the store as this daemon reaches it.
	Direct Store
	// Peers makes calls through other daemons. A daemon that cannot help
	// answers ErrorNotDone.
	Peers Store
	// HasPeers tells whether there are other daemons.
	HasPeers func() bool
	// ProbeTable is a table that is read to find out whether the store serves
	// this daemon again.
	ProbeTable string
	Logger     *slog.Logger

	// lost is signalled when the store stops to serve this daemon.
	lost chan struct{}

	mutex  sync.Mutex
	isLost bool
	// answeredAt is when the store itself last answered a call.
	answeredAt time.Time
}

var _ Store = (*Forwarding)(nil)

// NewForwarding returns a store that calls the store itself, or peers. Run finds
// out when the store serves this daemon again.
func NewForwarding(direct, peers Store, probeTable string, logger *slog.Logger) *Forwarding {
	return &Forwarding{
		Direct: direct, Peers: peers, HasPeers: func() bool { return false }, ProbeTable: probeTable, Logger: logger,
		lost: make(chan struct{}, 1),
	}
}

// Run reads a row now and then while the store does not serve this daemon, until
// the context ends.
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

// IsServed reports whether the store serves this daemon, as far as is known.
func (f *Forwarding) IsServed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return !f.isLost
}

// hasAnswered reports whether the store itself has answered lately.
func (f *Forwarding) hasAnswered() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.answeredAt) < answerAge
}

// note learns from a call to the store itself.
func (f *Forwarding) note(err error) {
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

// probe finds out once whether the store serves this daemon again.
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

// isUnserved tells calls that the store did not serve from those it answered.
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
	// directShare is the part, as one in so many, of a call's time in which the
	// store itself must answer while other daemons could be asked: a store that
	// drops this daemon's calls says nothing.
	directShare = 2
	// answerAge is how long an answer shows that the store serves this daemon. A
	// store that is slow needs a call's whole time, and a call that is made again
	// makes it slower.
	answerAge = 3 * time.Second
)

// directContext bounds a call to the store itself.
func (f *Forwarding) directContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, isBounded := ctx.Deadline()
	if !isBounded || !f.HasPeers() || f.hasAnswered() {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/directShare)
}

// forward makes a call at the store or, while that does not serve this daemon,
// through another. A call that may have been carried out is not made again
// unless it only reads.
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
	f.note(err)
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
	f.note(err)
	return changes, err
}

// PutObject implements Store. Putting the same object twice does no harm.
func (f *Forwarding) PutObject(ctx context.Context, name string, content []byte) error {
	_, err := forward(ctx, f, true, func(ctx context.Context, store Store) (struct{}, error) {
		return struct{}{}, store.PutObject(ctx, name, content)
	})
	return err
}

// GetObject implements Store.
func (f *Forwarding) GetObject(ctx context.Context, name string) ([]byte, error) {
	return forward(ctx, f, true, func(ctx context.Context, store Store) ([]byte, error) { return store.GetObject(ctx, name) })
}
