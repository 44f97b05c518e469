package table

import (
	"context"
	"time"
)

// Monotonic wraps a store so that reads never go back: a read of a version older than
// one returned by an earlier call or passed to Raise fails with ErrorNotDone.
type Monotonic struct {
	Store
	// OnVersion is called with each new highest version; nil means no call. It must not
	// block and must be set before the first call.
	OnVersion func(version Version)

	seen HighestVersion
}

// NewMonotonic wraps a store.
func NewMonotonic(store Store) *Monotonic { return &Monotonic{Store: store} }

// Raise records that a version exists. Later reads of older versions fail.
func (m *Monotonic) Raise(version Version) {
	if m.seen.Raise(version) && m.OnVersion != nil {
		m.OnVersion(version)
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
	atLeast := m.seen.Load()
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
