package table

import (
	"context"
	"time"
)

// confirmationPause is the least time between two calls that confirm a table.
const confirmationPause = 25 * time.Millisecond

// Confirm reports whether the consumer has received all changes that the store made before the
// call. One call to the store serves all who wait.
func (f *Follower) Confirm(ctx context.Context) bool {
	isConfirmed, isDone := f.confirmation.Do(ctx, confirmationPause, f.confirm)
	return isDone && isConfirmed
}

// confirm makes one call for the changes since the version seen, without waiting for any.
func (f *Follower) confirm() bool {
	if !f.isSynced.Load() {
		return false
	}
	started, after := f.Now(), f.seenVersion()
	changes, err := f.changesAfter(context.Background(), after)
	if err != nil || changes.Version < after {
		return false
	}
	f.applyChanges(changes, started)
	return true
}

// maxHistoryPages bounds the calls that read a table's history from its beginning.
const maxHistoryPages = 4

// readHistory reads the table's history from its beginning up to the version seen. If no row was
// ever removed or took another trait, the rows at that version are all that there have been.
func (f *Follower) readHistory(ctx context.Context) {
	section, _, isKnown := f.Section()
	if f.History == nil || (isKnown && section.IsPart) || !f.isReadingHistory.CompareAndSwap(false, true) {
		return
	}
	defer f.isReadingHistory.Store(false)
	generation, until := f.History.Generation(), f.seenVersion()
	after, traits := Version(0), map[replicaKey]string{}
	for range maxHistoryPages {
		changes, err := f.changesAfter(ctx, after)
		if err != nil || changes.Version <= after || !f.keepTraits(traits, changes.Rows) {
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

// keepTraits adds the traits of rows to those known. It reports false if a row was removed or has
// changed its trait.
func (f *Follower) keepTraits(known map[replicaKey]string, rows []Row) bool {
	for _, row := range rows {
		key := replicaKey{row.Partition, row.Key}
		trait := f.traitOf(row)
		before, isKnown := known[key]
		if row.Deleted || (isKnown && before != trait) {
			return false
		}
		known[key] = trait
	}
	return true
}

func (f *Follower) traitOf(row Row) string {
	if f.Trait == nil {
		return string(row.Value)
	}
	return f.Trait(row)
}
