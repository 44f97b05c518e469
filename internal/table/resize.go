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
	if !f.isTooLarge(section) && !(section.IsPart && f.Plan.WantsMore()) {
		return
	}
	f.resizeAfter = time.Now().Add(resizePause)
	if err := f.reread(ctx); err != nil {
		f.Logger.Info("table_not_resized", "table", f.Table, "version", f.seenVersion(), "error", err)
	}
}

// reread reads the table again while it is followed. An upstream also fetches the changes
// up to the version read, so that its followers receive them without a gap.
func (f *Follower) reread(ctx context.Context) error {
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
	f.Part.Keep(made.rows, made.version, newerThan(missed, f.seen), isUpstream)
	f.seen, f.isUnconfirmed = made.version, true
	f.Logger.Info("table_read", "table", f.Table, "version", made.version, "rows", len(made.rows), "is_part", made.kept.IsPart, "width", made.kept.width)
	return nil
}

// changesUntil returns the changes of the entire table after the version seen, up to a
// version.
func (f *Follower) changesUntil(ctx context.Context, until Version) ([]Row, error) {
	all, after := []Row{}, f.seenVersion()
	for after < until {
		bounded, cancel := context.WithTimeout(ctx, readTimeout)
		changes, err := f.Store.Watch(bounded, f.Table, after, 0)
		cancel()
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
