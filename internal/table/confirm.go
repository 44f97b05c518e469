package table

import (
	"context"
	"sync"
	"time"
)

// confirmation shares calls that confirm a table among those who wait for one. mutex guards the
// fields below it.
type confirmation struct {
	mutex sync.Mutex
	// isRunning is set while a call is under way. next is the call that starts after it; it
	// serves all who asked since the present one started.
	isRunning bool
	next      *confirmationCall
}

// confirmationCall is one call. done is closed at its end; isConfirmed is set before.
type confirmationCall struct {
	done        chan struct{}
	isConfirmed bool
}

// Confirm reports whether the consumer has received all changes that the store made before the
// call. One call to the store serves all who wait.
func (f *Follower) Confirm(ctx context.Context) bool {
	call := f.joinConfirmation()
	select {
	case <-ctx.Done():
		return false
	case <-call.done:
		return call.isConfirmed
	}
}

// joinConfirmation returns the next call to the store and starts it if none is under way.
func (f *Follower) joinConfirmation() *confirmationCall {
	f.confirmation.mutex.Lock()
	defer f.confirmation.mutex.Unlock()
	if f.confirmation.next == nil {
		f.confirmation.next = &confirmationCall{done: make(chan struct{})}
	}
	joined := f.confirmation.next
	if !f.confirmation.isRunning {
		f.confirmation.isRunning = true
		go f.runConfirmations()
	}
	return joined
}

// confirmationPause is the least time between two calls that confirm a table.
const confirmationPause = 25 * time.Millisecond

// runConfirmations makes calls one after another until nobody waits for one.
func (f *Follower) runConfirmations() {
	for {
		f.confirmation.mutex.Lock()
		call := f.confirmation.next
		f.confirmation.next = nil
		f.confirmation.isRunning = call != nil
		f.confirmation.mutex.Unlock()
		if call == nil {
			return
		}
		call.isConfirmed = f.confirm()
		close(call.done)
		time.Sleep(confirmationPause)
	}
}

// confirm makes one call for the changes since the version seen, without waiting for any.
func (f *Follower) confirm() bool {
	if !f.isSynced.Load() || f.isStoreLost.Load() {
		return false
	}
	bounded, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	started, after := f.Now(), f.seenVersion()
	changes, err := f.Store.Watch(bounded, f.Table, after, 0)
	if err != nil || changes.Version < after {
		return false
	}
	f.applyChanges(changes, started)
	return true
}

// maxHistoryPages bounds the calls that read a table's history from its beginning.
const maxHistoryPages = 4

// readHistory reads the table's history from its beginning up to the version seen. If no row was
// ever removed, the rows at that version are all that there have been.
func (f *Follower) readHistory(ctx context.Context) {
	section, _, isKnown := f.Section()
	if f.History == nil || (isKnown && section.IsPart) {
		return
	}
	generation, until := f.History.Generation(), f.seenVersion()
	after := Version(0)
	for range maxHistoryPages {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		changes, err := f.Store.Watch(bounded, f.Table, after, 0)
		cancel()
		if err != nil || hasRemoval(changes.Rows) || changes.Version <= after {
			return
		}
		after = changes.Version
		if after >= until {
			f.History.setWhole(generation)
			f.Logger.Info("table_history_read", "table", f.Table, "version", until)
			return
		}
	}
}

func hasRemoval(rows []Row) bool {
	for _, row := range rows {
		if row.Deleted {
			return true
		}
	}
	return false
}
