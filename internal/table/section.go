package table

// Section is a part of the keys of an unpartitioned table, in their order around a ring:
// those from From on and before Before, beyond the last key and on from the first where
// Before does not lie behind From. The zero value is the whole table.
type Section struct {
	// IsPart tells that it is not the whole table.
	IsPart bool
	From   string
	// Before is the first key behind the section; empty means that it ends with the last
	// key.
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
	held := make([]Row, 0, len(rows))
	for _, row := range rows {
		if s.Holds(row.Key) {
			held = append(held, row)
		}
	}
	return held
}

// SectionPlan decides how much of a large table a follower keeps. Its methods are called
// from the follower's goroutine.
type SectionPlan interface {
	// Place is where the section begins on the ring of keys, from 0 to below 1.
	Place() float64
	// IsEnough reports whether the rows that were read so far are enough of a section.
	IsEnough(rows []Row) bool
	// WantsMore reports whether what is kept has become too little, and WantsLess whether
	// so many rows are more than is wanted by far.
	WantsMore() bool
	WantsLess(rows int) bool
}

// SectionConsumer is a consumer of a section of a table.
type SectionConsumer interface {
	Consumer
	// SetSection tells of which section the next rows are.
	SetSection(section Section)
	// ChangePart receives the changes of the section and no others, as another daemon
	// chose them. Change receives those of the whole table.
	ChangePart(rows []Row, version Version)
	// Keep receives what is kept from then on, as Replace does. If isGapless is set, missed
	// are the changes of the whole table between what was kept before and the version, for
	// those who are told of them.
	Keep(rows []Row, version Version, missed []Row, isGapless bool)
	// Rows is how many rows are kept.
	Rows() int
}
