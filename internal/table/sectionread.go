package table

import "context"

const (
	// wholeRows is the size up to which a table is kept as a whole by every follower, and
	// outgrownRows the size to which such a table grows before it is kept in sections.
	wholeRows    = 600
	outgrownRows = wholeRows * 3 / 2
	// sampleRows are read first to learn how large the table is, and pageOfSection at a
	// time of a section.
	sampleRows    = 64
	pageOfSection = 64
	// reachError is the part by which the reach of the keys may be found too long, and
	// leastReach the shortest that is told apart.
	reachError = 1.0 / 16
	leastReach = 1.0 / (1 << 30)
)

// sectionRead is one read of a section.
type sectionRead struct {
	follower *Follower
	rows     []Row
	// version is that of the first page.
	version Version
	// held is what was read.
	held held
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
	return page.More && len(page.Rows) > 0, nil
}

// next is the first key behind the rows.
func (r *sectionRead) next() string { return r.rows[len(r.rows)-1].Key + "\x00" }

// keys are those of the rows.
func (r *sectionRead) keys() []string {
	keys := make([]string, 0, len(r.rows))
	for _, row := range r.rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// readSection reads a table as a whole if it is small, else the section that the
// follower's plan wants.
func (f *Follower) readSection(ctx context.Context) (*sectionRead, error) {
	first := &sectionRead{follower: f, version: -1}
	more, err := first.page(ctx, Range{Limit: sampleRows})
	if err != nil {
		return nil, err
	}
	if f.space.digits == 0 {
		f.space = KeyspaceOf(first.keys())
	}
	reach, isLarge, err := first.measure(ctx, more)
	if err != nil {
		return nil, err
	}
	if isLarge {
		return f.readPart(ctx, reach)
	}
	for more && err == nil {
		more, err = first.page(ctx, Range{From: first.next(), Limit: pageRows})
	}
	first.held = held{width: 1}
	return first, err
}

// readPart reads the section that the follower's plan wants of a table whose keys have a
// reach.
func (f *Follower) readPart(ctx context.Context, reach float64) (*sectionRead, error) {
	part := &sectionRead{follower: f, version: -1}
	from := f.space.At(f.Plan.Place() * reach)
	more, err := part.page(ctx, Range{From: from, Limit: pageOfSection})
	if err != nil {
		return nil, err
	}
	part.held.Section, err = part.fill(ctx, from, more, f.Plan)
	part.held.width = min(f.widthOf(part.held.Section)/reach, 1)
	return part, err
}

// measure estimates from the first rows of a table whether it is large, and how far the
// keys of a large one reach.
func (r *sectionRead) measure(ctx context.Context, more bool) (reach float64, isLarge bool, err error) {
	space := r.follower.space
	estimate := space.Estimate(r.keys())
	if !more || estimate <= wholeRows {
		return 1, false, nil
	}
	reach, err = r.reachOf(ctx, space)
	return reach, estimate*reach > wholeRows, err
}

// reachOf finds how far the keys reach among those that may be, with an error of a
// sixteenth: they may lie far below what their letters allow. All followers find the same,
// so that their places are comparable.
func (r *sectionRead) reachOf(ctx context.Context, space Keyspace) (float64, error) {
	low, high := 0.0, 1.0
	for middle := 1 - reachError; high > leastReach; middle = (low + high) / 2 {
		found := &sectionRead{follower: r.follower}
		if _, err := found.page(ctx, Range{From: space.At(middle), Limit: 1}); err != nil {
			return 0, err
		}
		if len(found.rows) > 0 {
			low = middle
		} else {
			high = middle
		}
		if high-low <= high*reachError {
			break
		}
	}
	return high, nil
}

// fill reads on, around the ring, until the plan has enough or all is read.
func (r *sectionRead) fill(ctx context.Context, from string, more bool, plan SectionPlan) (Section, error) {
	before, hasWrapped := "", false
	for !plan.IsEnough(r.rows) {
		var err error
		switch {
		case more:
			more, err = r.page(ctx, Range{From: r.next(), Before: before, Limit: pageOfSection})
		case !hasWrapped && from != "":
			before, hasWrapped = from, true
			more, err = r.page(ctx, Range{Before: before, Limit: pageOfSection})
		default:
			return Section{}, nil
		}
		if err != nil {
			return Section{}, err
		}
	}
	section := Section{IsPart: true, From: from}
	if len(r.rows) > 0 && (more || hasWrapped) {
		section.Before = r.next()
	}
	return section, nil
}

// widthOf is the part of the guessed keys that a section holds.
func (f *Follower) widthOf(section Section) float64 {
	if !section.IsPart {
		return 1
	}
	end := 1.0
	if section.Before != "" {
		end = f.space.Fraction(section.Before)
	}
	width := end - f.space.Fraction(section.From)
	if width < 0 {
		width++
	}
	return width
}

// held is a section with its width on the ring of keys.
type held struct {
	Section
	width float64
}

// heldSection is what another daemon's copy has.
func heldSection(told PeerCopy) held {
	if !told.Section.IsPart {
		return held{width: 1}
	}
	return held{Section: told.Section, width: told.Width}
}

// setSection notes what is kept from now on.
func (f *Follower) setSection(kept held) {
	f.section.Store(&kept)
	f.Part.SetSection(kept.Section)
}

// Section returns the part of the table that is kept and its width, the part of all keys
// that it holds. It reports false until the table was read.
func (f *Follower) Section() (section Section, width float64, isKnown bool) {
	known := f.section.Load()
	if known == nil {
		return Section{}, 0, false
	}
	return known.Section, known.width, true
}
