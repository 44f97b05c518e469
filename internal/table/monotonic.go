package table

import (
	"context"
	"sync/atomic"
	"time"
)

// Monotonic is a store whose reads never go back: a read of a state older than
// one that any earlier call returned, here or at a daemon that told, fails as
// not done.
type Monotonic struct {
	Store
	// Tell receives each newest version; nil means that nobody is told. It must
	// not block, and is set before the first call.
	Tell func(version Version)

	seen atomic.Int64
}

// NewMonotonic wraps a store.
func NewMonotonic(store Store) *Monotonic { return &Monotonic{Store: store} }

// Raise takes note of a version that exists: reads of older states fail.
func (m *Monotonic) Raise(version Version) {
	for {
		present := m.seen.Load()
		if int64(version) <= present {
			return
		}
		if !m.seen.CompareAndSwap(present, int64(version)) {
			continue
		}
		if m.Tell != nil {
			m.Tell(version)
		}
		return
	}
}

// Commit implements Store.
func (m *Monotonic) Commit(ctx context.Context, transaction Transaction) (Version, error) {
	version, err := m.Store.Commit(ctx, transaction)
	m.Raise(version)
	return version, err
}

// Read implements Store.
func (m *Monotonic) Read(ctx context.Context, wanted Range) (Page, error) {
	atLeast := Version(m.seen.Load())
	page, err := m.Store.Read(ctx, wanted)
	if err != nil {
		return page, err
	}
	if page.Version < atLeast {
		return Page{}, &Error{Kind: ErrorNotDone, Call: "stale_read"}
	}
	m.Raise(page.Version)
	return page, nil
}

// Watch implements Store.
func (m *Monotonic) Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	changes, err := m.Store.Watch(ctx, table, after, wait)
	m.Raise(changes.Version)
	return changes, err
}
