package table

import "context"

const (
	// fullTableRows is the estimated size, in rows, up to which a table is read entirely.
	fullTableRows = 600
	// maxFullTableRows is the size above which a table that is kept entirely is read
	// again as a section.
	maxFullTableRows = fullTableRows * 3 / 2
	// sampleRows is the number of rows read first to estimate the size of the table.
	sampleRows = 64
	// sectionPageRows is the page size for reads of a section.
	sectionPageRows = 64
	// extentTolerance is the relative error up to which the extent of the keys is
	// overestimated.
	extentTolerance = 1.0 / 16
	// minExtent ends the search for the extent.
	minExtent = 1.0 / (1 << 30)
)

// sectionRead is one read of a section.
type sectionRead struct {
	follower *Follower
	rows     []Row
	// version is that of the first page.
	version Version
	// next is the smallest key after the rows read so far.
	next string
	// kept is the section that was read.
	kept keptSection
}

// page reads one page and reports whether the range holds further rows.
func (r *sectionRead) page(ctx context.Context, wanted Range) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	wanted.Table = r.follower.Table
	page, err := r.follower.Store.Read(bounded, wanted)
	if err != nil {
		return false, err
	}
	if r.version < 0 {
		r.version = page.Version
	}
	r.rows = append(r.rows, page.Rows...)
	next, more, err := page.Next(wanted.From)
	if more {
		r.next = next
	} else if len(page.Rows) > 0 {
		r.next = page.Rows[len(page.Rows)-1].Key + "\x00"
	}
	return more, err
}

// keys returns the keys of the rows read so far.
func (r *sectionRead) keys() []string {
	keys := make([]string, 0, len(r.rows))
	for _, row := range r.rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// readSection reads the entire table if it is small, else the section that the follower's
// plan selects.
func (f *Follower) readSection(ctx context.Context) (*sectionRead, error) {
	first := &sectionRead{follower: f, version: -1}
	more, err := first.page(ctx, Range{Limit: sampleRows})
	if err != nil {
		return nil, err
	}
	if f.keyspace.digits == 0 {
		f.keyspace = KeyspaceOf(first.keys())
	}
	measured, err := first.measure(ctx, more)
	if err != nil {
		return nil, err
	}
	if measured.rows > fullTableRows {
		return f.readPart(ctx, measured)
	}
	for more && err == nil {
		more, err = first.page(ctx, Range{From: first.next, Limit: pageRows})
	}
	first.kept = keptSection{width: 1}
	return first, err
}

// measurement is an estimate of a table's size.
type measurement struct {
	// extent is the fraction of the keyspace that the table's keys use.
	extent float64
	rows   float64
}

// readPart reads the section that the follower's plan selects.
func (f *Follower) readPart(ctx context.Context, measured measurement) (*sectionRead, error) {
	part := &sectionRead{follower: f, version: -1}
	from := f.keyspace.At(f.Plan.Position() * measured.extent)
	more, err := part.page(ctx, Range{From: from, Limit: sectionPageRows})
	if err != nil {
		return nil, err
	}
	part.kept.Section, err = part.fill(ctx, from, more, f.Plan)
	part.kept.width = min(f.widthOf(part.kept.Section)/measured.extent, 1)
	part.kept.tableRows = measured.rows
	return part, err
}

// measure estimates the size of a table from its first rows.
func (r *sectionRead) measure(ctx context.Context, more bool) (measurement, error) {
	space := r.follower.keyspace
	estimate := space.Estimate(r.keys())
	if !more || estimate <= fullTableRows {
		return measurement{extent: 1, rows: min(estimate, fullTableRows)}, nil
	}
	extent, err := r.findExtent(ctx, space)
	return measurement{extent: extent, rows: estimate * extent}, err
}

// findExtent finds by bisection which fraction of the keyspace, from its start, the table's
// keys use: their leading digits may be far below the largest possible. All followers get
// the same result, so that their positions are comparable.
func (r *sectionRead) findExtent(ctx context.Context, space Keyspace) (float64, error) {
	low, high := 0.0, 1.0
	for middle := 1 - extentTolerance; high > minExtent; middle = (low + high) / 2 {
		found := &sectionRead{follower: r.follower}
		if _, err := found.page(ctx, Range{From: space.At(middle), Limit: 1}); err != nil {
			return 0, err
		}
		if len(found.rows) > 0 {
			low = middle
		} else {
			high = middle
		}
		if high-low <= high*extentTolerance {
			break
		}
	}
	return high, nil
}

// fill reads further pages around the ring until the plan has enough rows or the entire
// table was read.
func (r *sectionRead) fill(ctx context.Context, from string, more bool, plan SectionPlan) (Section, error) {
	before, hasWrapped := "", false
	for !plan.IsEnough(r.rows) {
		var err error
		switch {
		case more:
			more, err = r.page(ctx, Range{From: r.next, Before: before, Limit: sectionPageRows})
		case !hasWrapped && from != "":
			before, hasWrapped = from, true
			more, err = r.page(ctx, Range{Before: before, Limit: sectionPageRows})
		default:
			return Section{}, nil
		}
		if err != nil {
			return Section{}, err
		}
	}
	section := Section{IsPart: true, From: from}
	if len(r.rows) > 0 && (more || hasWrapped) {
		section.Before = r.next
	}
	return section, nil
}

// widthOf returns the fraction of the keyspace that a section covers.
func (f *Follower) widthOf(section Section) float64 {
	if !section.IsPart {
		return 1
	}
	end := 1.0
	if section.Before != "" {
		end = f.keyspace.Fraction(section.Before)
	}
	width := end - f.keyspace.Fraction(section.From)
	if width < 0 {
		width++
	}
	return width
}

// keptSection is a section and its width, the fraction of all keys that it covers.
type keptSection struct {
	Section
	width float64
	// tableRows is the estimated size of the table when the section was read; 0 means unknown.
	tableRows float64
}

// peerSection returns the section of another daemon's copy.
func peerSection(found PeerCopy) keptSection {
	if !found.Section.IsPart {
		return keptSection{width: 1}
	}
	return keptSection{Section: found.Section, width: found.Width}
}

// setSection records the section that is kept from now on.
func (f *Follower) setSection(kept keptSection) {
	f.section.Store(&kept)
	f.Part.SetSection(kept.Section)
}

// Section returns the section of the table that is kept and its width, the fraction of all
// keys that it covers. It reports false until the table has been read.
func (f *Follower) Section() (section Section, width float64, isKnown bool) {
	known := f.section.Load()
	if known == nil {
		return Section{}, 0, false
	}
	return known.Section, known.width, true
}
