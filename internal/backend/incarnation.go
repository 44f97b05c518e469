package backend

import "strconv"

// Incarnation is one run of a backend process. State learned about a backend belongs to
// an incarnation: a process that restarts under the same id shares nothing with the
// previous one.
type Incarnation struct {
	// ID is the backend's id.
	ID string
	// StartMillis is the start time in Unix milliseconds; 0 if unknown.
	StartMillis int64
}

// String formats the incarnation for logs and stored rows as id@start, or as the id alone
// if the start time is unknown.
func (i Incarnation) String() string {
	if i.StartMillis == 0 {
		return i.ID
	}
	return i.ID + "@" + strconv.FormatInt(i.StartMillis, decimal)
}

// decimal is the base of numbers in text.
const decimal = 10

// Incarnation returns the incarnation that the entry describes.
func (i Instance) Incarnation() Incarnation { return Incarnation{ID: i.ID, StartMillis: i.StartMillis} }

// Listing is the effect of a discovery entry.
type Listing uint8

// The effects of an entry.
const (
	// ListingNew adds a backend.
	ListingNew Listing = iota
	// ListingSame updates the current incarnation.
	ListingSame
	// ListingRestarted replaces the current incarnation with a later one.
	ListingRestarted
	// ListingStale describes an earlier or unidentified incarnation and changes nothing.
	ListingStale
)

// String returns the listing's name in logs.
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

// classify returns the effect of an entry. known is the listed backend, nil if there is
// none. newest is the latest start time ever listed for the id, 0 if none.
// Start times of an id never decrease, so an earlier one is stale. If a start time is
// known and the entry has none, the entry comes from a writer that doesn't set it. It
// then updates the known backend if address and service match, and is stale otherwise.
func classify(known *Instance, newest int64, entry Instance) Listing {
	switch {
	case entry.StartMillis == 0 && newest > 0:
		if known != nil && known.Address == entry.Address && known.Service == entry.Service {
			return ListingSame
		}
		return ListingStale
	case entry.StartMillis < newest:
		return ListingStale
	case known == nil:
		return ListingNew
	case entry.StartMillis != known.StartMillis:
		return ListingRestarted
	}
	return ListingSame
}

// maxStartTimes limits one generation of startTimes. A backend whose start time was
// dropped can be listed again by a stale entry, until the next entry arrives.
const maxStartTimes = 4096

// startTimes holds the latest start time of each removed backend, in two generations. All
// entries of the older generation are dropped together.
type startTimes struct {
	newer, older map[string]int64
}

func newStartTimes() *startTimes {
	return &startTimes{newer: map[string]int64{}, older: map[string]int64{}}
}

// record stores the start time of a removed backend, if it is known.
func (s *startTimes) record(gone Incarnation) {
	if gone.StartMillis == 0 || gone.StartMillis < s.newest(gone.ID) {
		return
	}
	if len(s.newer) >= maxStartTimes {
		s.older, s.newer = s.newer, map[string]int64{}
	}
	s.newer[gone.ID] = gone.StartMillis
}

// newest returns the latest start time stored for an id, or 0.
func (s *startTimes) newest(id string) int64 { return max(s.newer[id], s.older[id]) }
