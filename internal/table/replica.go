package table

import (
	"context"
	"sync"
	"time"
)

// Replica is a Consumer that keeps a copy of a followed table, or of a section of it, for
// other daemons, and passes the kept rows on to its own Consumer. mutex guards the fields below
// it.
type Replica struct {
	Consumer Consumer
	// History is restarted at each gap in the changes; nil means that nobody asks for it.
	History *History

	mutex   sync.Mutex
	section Section
	rows    map[replicaKey]Row
	version Version
	recent  recentChanges
	// rowsVersion is the version at which rows changed last. changed is closed at the
	// next change.
	rowsVersion Version
	changed     chan struct{}
}

type replicaKey struct{ partition, key string }

// Replace implements Consumer.
func (r *Replica) Replace(rows []Row, version Version) { r.Keep(rows, version, nil, false) }

// Keep implements SectionConsumer.
func (r *Replica) Keep(rows []Row, version Version, missed []Row, isGapless bool) {
	r.restartHistory()
	r.mutex.Lock()
	r.rows = map[replicaKey]Row{}
	r.store(rows, version)
	if isGapless {
		r.addRecent(missed)
	} else {
		r.recent.reset(version)
	}
	r.notifyChanged()
	r.mutex.Unlock()
	r.Consumer.Replace(rows, version)
}

// Change implements Consumer. All changes are added to the recent ones; only rows of the
// section are stored and passed on.
func (r *Replica) Change(rows []Row, version Version) {
	r.mutex.Lock()
	kept := r.section.Of(rows)
	if r.hasUnseen(kept) {
		r.restartHistory()
	}
	r.store(kept, version)
	r.addRecent(rows)
	r.mutex.Unlock()
	r.Consumer.Change(kept, version)
}

// SetSection implements SectionConsumer.
func (r *Replica) SetSection(section Section) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.section = section
}

// ChangePart implements SectionConsumer. Changes in the rest of the table are not known, so
// the recent changes are incomplete up to this version and are dropped.
func (r *Replica) ChangePart(rows []Row, version Version) {
	r.mutex.Lock()
	if r.hasUnseen(rows) {
		r.restartHistory()
	}
	r.store(rows, version)
	r.recent.reset(version)
	r.notifyChanged()
	r.mutex.Unlock()
	r.Consumer.Change(rows, version)
}

// restartHistory records a gap in the changes.
func (r *Replica) restartHistory() {
	if r.History != nil {
		r.History.restart()
	}
}

// hasUnseen reports whether rows were removed that the copy never had: of several changes of a
// row a source may pass on the last one only. mutex must be held.
func (r *Replica) hasUnseen(rows []Row) bool {
	added := map[replicaKey]bool{}
	for _, row := range rows {
		key := replicaKey{row.Partition, row.Key}
		_, isKept := r.rows[key]
		if row.Deleted && !isKept && !added[key] {
			return true
		}
		added[key] = !row.Deleted
	}
	return false
}

// store applies rows to the copy. mutex must be held.
func (r *Replica) store(rows []Row, version Version) {
	if r.rows == nil {
		r.rows = map[replicaKey]Row{}
	}
	for _, row := range rows {
		key := replicaKey{row.Partition, row.Key}
		if row.Deleted {
			delete(r.rows, key)
			continue
		}
		r.rows[key] = row
	}
	r.version = version
}

// notifyChanged wakes the callers that wait for changed rows. mutex must be held.
func (r *Replica) notifyChanged() {
	r.rowsVersion = r.version
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// addRecent adds changes for daemons that follow the copy. mutex must be held.
func (r *Replica) addRecent(rows []Row) {
	if len(rows) == 0 {
		return
	}
	r.notifyChanged()
	r.recent.add(rows)
}

// Changed returns a channel that is closed once rows have changed after a version.
func (r *Replica) Changed(after Version) <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.rowsVersion > after {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// ChangesSince returns the changes after a version. If they are no longer kept, it returns
// all rows with isWhole set, or isKnown false if only a section is kept.
func (r *Replica) ChangesSince(after Version) (changes Changes, isWhole, isKnown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes.Version = r.version
	if after >= r.recent.after {
		changes.Rows = r.recent.since(after)
		return changes, false, true
	}
	if r.section.IsPart {
		return changes, false, false
	}
	changes.Rows = r.all()
	return changes, true, true
}

// SectionSince returns the changes in a section after a version. It reports false if they
// are no longer kept.
func (r *Replica) SectionSince(section Section, after Version) (changes Changes, isKnown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes.Version = r.version
	if after < r.recent.after {
		return changes, false
	}
	changes.Rows = section.Of(r.recent.since(after))
	return changes, true
}

// all returns all rows. mutex must be held.
func (r *Replica) all() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	return rows
}

// Since returns the version of the copy, and all its rows if any has changed after a version.
func (r *Replica) Since(after Version) (rows []Row, version Version, isNewer bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.rowsVersion <= after {
		return nil, r.version, false
	}
	return r.all(), r.version, true
}

// Bytes returns the size of the keys and values of the copy and of the recent changes. Most of
// these share their values with the copy.
func (r *Replica) Bytes() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	total := r.recent.bytes
	for key, row := range r.rows {
		total += len(key.partition) + len(key.key) + len(row.Value)
	}
	return total
}

// Rows implements SectionConsumer.
func (r *Replica) Rows() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.rows)
}

// Section returns the section of the table that is kept.
func (r *Replica) Section() Section {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.section
}

// Peers returns the copies of a followed table that other daemons keep.
type Peers interface {
	// Newer returns the copy of a daemon that has newer rows. If no queried daemon has any,
	// it returns the most recently confirmed copy. Daemons that don't answer must not delay
	// it. It reports false if no daemon answered.
	Newer(ctx context.Context, query PeerQuery) (PeerCopy, bool)
	// NewerPart is Newer for a table of which each daemon may keep only a section.
	NewerPart(ctx context.Context, query PeerQuery) (PeerCopy, bool)
}

// PeerQuery asks for a copy of a table that is newer than a version.
type PeerQuery struct {
	Table string
	// After is the version that the caller has.
	After Version
	// Wanted is a version that some daemon has; 0 means none is known of.
	Wanted Version
}

// PeerCopy is another daemon's copy of a table.
type PeerCopy struct {
	// Daemon is the other daemon's address.
	Daemon string
	// Rows are all rows of the copy if IsNewer is set, else none.
	Rows []Row
	// Section is the section that the copy has, and Width its fraction of all keys.
	Section Section
	Width   float64
	IsNewer bool
	Version Version
	// Age is the age of the copy when the other daemon received the call (see
	// Follower.Age).
	Age time.Duration
}
