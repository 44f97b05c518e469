package table

import (
	"context"
	"time"
)

// resizePause is the minimum time between two resizes.
const resizePause = time.Second

// resize reads the table again if the section has become too small or too large, or if a
// table that is kept entirely has grown too large. If that fails, the present rows are kept.
func (f *Follower) resize(ctx context.Context) {
	section, _, isKnown := f.Section()
	if !f.isSynced.Load() || !isKnown || time.Now().Before(f.resizeAfter) {
		return
	}
	hasShrunk := section.IsPart && f.hasShrunk() && !time.Now().Before(f.shrunkAfter)
	if !f.isTooLarge(section) && !(section.IsPart && f.Plan.WantsMore()) && !hasShrunk {
		return
	}
	if hasShrunk {
		f.shrunkPause = min(max(2*f.shrunkPause, resizePause), maxShrunkPause)
		f.shrunkAfter = time.Now().Add(f.shrunkPause)
	}
	f.resizeAfter = time.Now().Add(resizePause)
	if err := f.reread(ctx); err != nil {
		f.Logger.Info("table_not_resized", "table", f.Table, "version", f.seenVersion(), "error", err)
	}
}

const (
	// shrunkShare is the share of a table's rows whose removal makes a follower of a section measure
	// the table again: it may have become small enough to be kept entirely.
	shrunkShare = 0.25
	// sparseShare is the share of the rows to be expected in a section below which the table shrank
	// while it was read. Estimates from the first rows of a table differ by less.
	sparseShare = 0.6
	// maxShrunkPause is the longest pause between two such measurements. They become rarer, because
	// keys that are not uniform make a section seem to have too few rows.
	maxShrunkPause = time.Minute
)

// hasShrunk reports whether many rows of the table were removed since it was measured, or while the
// section was read, which then has fewer rows than its width suggests. Rows outside the section that
// were added are not counted: they cannot be told from changed ones.
func (f *Follower) hasShrunk() bool {
	known := f.section.Load()
	f.delivery.Lock()
	removed := f.removedRows
	f.delivery.Unlock()
	if known.tableRows == 0 {
		return false
	}
	isSparse := float64(f.Part.Rows()) < sparseShare*known.tableRows*known.width
	return isSparse || float64(removed) >= shrunkShare*known.tableRows
}

// passChanges passes changes of the entire table to the consumer. delivery must be held.
func (f *Follower) passChanges(rows []Row, version Version) {
	for _, row := range rows {
		if row.Deleted {
			f.removedRows++
		}
	}
	f.Consumer.Change(rows, version)
}

// reread reads the table again while it is followed. An upstream also fetches the changes
// up to the version read, so that its followers receive them without a gap.
func (f *Follower) reread(ctx context.Context) error {
	started := f.Now()
	made, err := f.readSection(ctx)
	if err != nil {
		return err
	}
	if made.version < f.seenVersion() {
		return errStaleRead
	}
	isUpstream := f.Upstream != nil && f.Upstream.Serves()
	missed := []Row{}
	if isUpstream {
		if missed, err = f.changesUntil(ctx, made.version); err != nil {
			return err
		}
	}
	f.delivery.Lock()
	defer f.delivery.Unlock()
	if made.version < f.seen {
		return errStaleRead
	}
	f.setSection(made.kept)
	f.removedRows = 0
	f.receiveFrom(SourceStore, "", made.rows)
	f.giveGrace(started, DoubtNone)
	f.Part.Keep(made.rows, made.version, newerThan(missed, f.seen), isUpstream)
	f.seen, f.isUnconfirmed = made.version, true
	f.Logger.Info("table_read", "table", f.Table, "version", made.version, "rows", len(made.rows), "is_part", made.kept.IsPart, "width", made.kept.width)
	return nil
}

// changesAfter returns the store's changes after a version, without waiting for any.
func (f *Follower) changesAfter(ctx context.Context, after Version) (Changes, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return f.Store.Watch(bounded, f.Table, after, 0)
}

// changesUntil returns the changes of the entire table after the version seen, up to a
// version.
func (f *Follower) changesUntil(ctx context.Context, until Version) ([]Row, error) {
	all, after := []Row{}, f.seenVersion()
	for after < until {
		changes, err := f.changesAfter(ctx, after)
		if err != nil {
			return nil, err
		}
		if changes.Version <= after {
			return nil, &Error{Kind: ErrorNotDone, Call: "stale_watch"}
		}
		for _, row := range changes.Rows {
			if row.Version <= until {
				all = append(all, row)
			}
		}
		after = changes.Version
	}
	return all, nil
}

// isTooLarge reports whether many more rows are kept than wanted, because rows were added
// since the table was read.
func (f *Follower) isTooLarge(section Section) bool {
	rows := f.Part.Rows()
	if section.IsPart {
		return f.Plan.WantsLess(rows)
	}
	return rows > maxFullTableRows
}
