package table

import (
	"context"
	"time"
)

// resizePause is the shortest time between two reads of more or less of a table.
const resizePause = time.Second

// resize reads the table again if what is kept of it has become too little, or if a table
// that is kept as a whole has grown. What is kept serves on while that fails.
func (f *Follower) resize(ctx context.Context, inStep bool) {
	section, _, isKnown := f.Section()
	if !inStep || !isKnown || time.Now().Before(f.resizeAfter) {
		return
	}
	if !f.hasOutgrown(section) && !(section.IsPart && f.Plan.WantsMore()) {
		return
	}
	f.resizeAfter = time.Now().Add(resizePause)
	if err := f.readAgain(ctx); err != nil {
		f.Logger.Info("table_not_resized", "table", f.Table, "version", f.seen, "error", err)
	}
}

// readAgain reads the table again while it is followed. An upstream also asks for the
// changes up to what was read, so that what it tells its followers has no gap.
func (f *Follower) readAgain(ctx context.Context) error {
	made, err := f.readSection(ctx)
	if err != nil {
		return err
	}
	if made.version < f.seen {
		return &Error{Kind: ErrorNotDone, Call: "stale_read"}
	}
	isUpstream := f.Upstream != nil && f.Upstream.Serves()
	missed := []Row{}
	if isUpstream {
		if missed, err = f.changesUntil(ctx, made.version); err != nil {
			return err
		}
	}
	f.setSection(made.held)
	f.Part.Keep(made.rows, made.version, missed, isUpstream)
	f.seen, f.isUnconfirmed = made.version, true
	f.Logger.Info("table_read", "table", f.Table, "version", made.version, "rows", len(made.rows), "is_part", made.held.IsPart, "width", made.held.width)
	return nil
}

// changesUntil returns the changes of the whole table behind what was seen and up to a
// version.
func (f *Follower) changesUntil(ctx context.Context, until Version) ([]Row, error) {
	all, after := []Row{}, f.seen
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

// hasOutgrown reports whether much more is kept than should be: entries were added since it
// was read.
func (f *Follower) hasOutgrown(section Section) bool {
	rows := f.Part.Rows()
	if section.IsPart {
		return f.Plan.WantsLess(rows)
	}
	return rows > outgrownRows
}
