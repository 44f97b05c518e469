package streamorigin

import (
	"sync"
	"time"
)

// maxRecords is the maximum number of records of a daemon, about 2 MB. At 13 streams a second
// and daemon, with three copies each, some 1,200 are needed.
const maxRecords = 16 << 10

// records holds records until they expire. The oldest are dropped if there are too many.
// It is safe for concurrent use.
type records struct {
	mutex sync.Mutex
	byKey map[Key]*storedRecord
	// order holds the keys in the order in which they were added, from first on. A key whose
	// record was replaced after it expired is in it twice.
	order []Key
	first int
}

// storedRecord is a record at this daemon.
type storedRecord struct {
	Record
	// isConflicting is set if two streams with different origins had the key.
	isConflicting bool
	// isUncopied is set for a stream of this daemon of which no other daemon has a copy.
	isUncopied bool
}

func newRecords() *records { return &records{byKey: map[Key]*storedRecord{}} }

// put adds a record. If there is one of the key with another origin, neither counts.
func (r *records) put(added Record, isUncopied bool, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, isKnown := r.byKey[added.Key]
	if isKnown && now.Before(known.Expires) {
		known.isConflicting = known.isConflicting || known.Origin != added.Origin
		if added.Expires.After(known.Expires) {
			known.Expires = added.Expires
		}
		return
	}
	r.makeRoom(now)
	r.byKey[added.Key] = &storedRecord{Record: added, isUncopied: isUncopied}
	r.order = append(r.order, added.Key)
}

// makeRoom drops expired records, and the oldest one if there is no room. mutex must be held.
func (r *records) makeRoom(now time.Time) {
	for r.first < len(r.order) {
		known, isKnown := r.byKey[r.order[r.first]]
		isNeeded := isKnown && now.Before(known.Expires)
		if isNeeded && len(r.byKey) < maxRecords {
			break
		}
		delete(r.byKey, r.order[r.first])
		r.first++
	}
	if r.first > len(r.order)/2 {
		r.order = append([]Key(nil), r.order[r.first:]...)
		r.first = 0
	}
}

// get returns the record of a key that has not expired.
func (r *records) get(key Key, now time.Time) (storedRecord, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, isKnown := r.byKey[key]
	if !isKnown || !now.Before(known.Expires) {
		return storedRecord{}, false
	}
	return *known, true
}

// markUncopied records that no other daemon has a copy of a stream's record.
func (r *records) markUncopied(key Key) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if known, isKnown := r.byKey[key]; isKnown {
		known.isUncopied = true
	}
}

// takeUncopied returns the records of this daemon's streams that have no copy, and counts them
// as copied. accept chooses the services.
func (r *records) takeUncopied(accept func(service string) bool, now time.Time) []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	taken := []Record{}
	for _, known := range r.byKey {
		if known.isUncopied && now.Before(known.Expires) && accept(known.Origin.Service) {
			known.isUncopied = false
			taken = append(taken, known.Record)
		}
	}
	return taken
}

// count returns the number of records.
func (r *records) count() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.byKey)
}
