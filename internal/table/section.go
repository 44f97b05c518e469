package table

// Section is a range of the keys of an unpartitioned table, ordered as a ring: the keys in
// [From, Before). If Before is not greater than From, the range wraps around the last key.
// The zero value is the entire table.
type Section struct {
	// IsPart is false for the entire table.
	IsPart bool
	From   string
	// Before is the first key after the section; empty means that the section ends with
	// the last key.
	Before string
}

// Holds reports whether a key belongs to the section.
func (s Section) Holds(key string) bool {
	switch {
	case !s.IsPart:
		return true
	case s.Before == "":
		return key >= s.From
	case s.From < s.Before:
		return key >= s.From && key < s.Before
	}
	return key >= s.From || key < s.Before
}

// Of returns the rows that belong to the section.
func (s Section) Of(rows []Row) []Row {
	if !s.IsPart {
		return rows
	}
	contained := make([]Row, 0, len(rows))
	for _, row := range rows {
		if s.Holds(row.Key) {
			contained = append(contained, row)
		}
	}
	return contained
}

// SectionPlan decides which section of a large table a follower keeps. Its methods are
// called from the follower's goroutine.
type SectionPlan interface {
	// Position is where the section begins on the ring of keys, in [0, 1).
	Position() float64
	// IsEnough reports whether the rows read so far are enough for a section.
	IsEnough(rows []Row) bool
	// WantsMore reports whether the section has become too small.
	WantsMore() bool
	// WantsLess reports whether this number of rows is far too large for a section.
	WantsLess(rows int) bool
}

// SectionConsumer is a consumer of a section of a table.
type SectionConsumer interface {
	Consumer
	// SetSection sets the section that the next rows belong to.
	SetSection(section Section)
	// ChangePart receives only the changes in the section, as another daemon selected
	// them. Change receives those of the entire table.
	ChangePart(rows []Row, version Version)
	// Keep replaces the rows, as Replace does. If isGapless is set, missed are all changes
	// of the entire table between the previous version and this one, to be relayed to other
	// daemons.
	Keep(rows []Row, version Version, missed []Row, isGapless bool)
	// Rows returns the number of rows that are kept.
	Rows() int
}
