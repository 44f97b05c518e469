package backend

import "strconv"

// Incarnation is one run of a backend's process, from its start to its end. All that is
// learned of a backend is learned of a life: a process that starts again under its
// id holds and knows nothing of the one before.
type Incarnation struct {
	// ID is the backend's id.
	ID string
	// StartMillis is the Unix millisecond of the start; 0 means not told.
	StartMillis int64
}

// String names the life in logs and in rows: the id alone where no birth is told.
func (l Incarnation) String() string {
	if l.StartMillis == 0 {
		return l.ID
	}
	return l.ID + "@" + strconv.FormatInt(l.StartMillis, decimal)
}

// decimal is the base of numbers in text.
const decimal = 10

// Incarnation returns the life of which the instance is told.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, StartMillis: i.StartMillis} }

// Listing is what an entry of discovery changes.
type Listing uint8

// What an entry changes.
const (
	// ListingNew adds a backend.
	ListingNew Listing = iota
	// ListingSame tells more of the life that is known.
	ListingSame
	// ListingRestarted ends the life that is known: its process has started again.
	ListingRestarted
	// ListingStale is a word of an earlier life, and changes nothing.
	ListingStale
)

// String names the listing in logs.
func (l Listing) String() string {
	switch l {
	case ListingNew:
		return "new"
	case ListingSame:
		return "same"
	case ListingRestarted:
		return "reborn"
	case ListingStale:
		return "late"
	}
	return "unknown"
}

// judge tells what an entry changes. known is the backend as it is listed, nil if it
// is not, and newest the latest birth that was ever told for the id, 0 if none.
//
// Births of an id only rise, so an older one is a late word. An entry without a birth
// behind one with it comes from a writer that does not tell lives. It names no new
// life: it speaks of the known one, or, if it names another address or service, of
// none that can be told.
func judge(known *Instance, newest int64, told Instance) Listing {
	switch {
	case told.StartMillis == 0 && newest > 0:
		if known != nil && known.Address == told.Address && known.Service == told.Service {
			return ListingSame
		}
		return ListingStale
	case told.StartMillis < newest:
		return ListingStale
	case known == nil:
		return ListingNew
	case told.StartMillis != known.StartMillis:
		return ListingRestarted
	}
	return ListingSame
}

// maxBirths bounds one generation of remembered births. A backend whose birth is
// forgotten can be listed by a late word of an earlier life until the next entry.
const maxBirths = 4096

// births remembers the latest birth of backends that are not listed any more, in two
// generations: the older one is dropped as a whole.
type births struct {
	newer, older map[string]int64
}

func newBirths() *births { return &births{newer: map[string]int64{}, older: map[string]int64{}} }

// note remembers the birth of a backend that is gone. One that told none is not
// remembered.
func (b *births) note(gone Incarnation) {
	if gone.StartMillis == 0 || gone.StartMillis < b.newest(gone.ID) {
		return
	}
	if len(b.newer) >= maxBirths {
		b.older, b.newer = b.newer, map[string]int64{}
	}
	b.newer[gone.ID] = gone.StartMillis
}

// newest returns the latest birth that is remembered for an id, or 0.
func (b *births) newest(id string) int64 { return max(b.newer[id], b.older[id]) }
