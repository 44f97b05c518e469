package table

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"
)

// Replica keeps a copy of a followed table, for daemons that cannot reach the
// store, and hands everything on. mutex guards rows and version.
type Replica struct {
	Consumer Consumer

	mutex   sync.Mutex
	section Section
	rows    map[replicaKey]Row
	version Version
	// recent are the latest changes in order; all that came after the version
	// recentAfter are among them.
	recent      []Row
	recentAfter Version
	// rowsVersion is the version at which rows last changed, and changed is
	// closed when they change next.
	rowsVersion Version
	changed     chan struct{}
}

// recentRows bounds the changes that are kept for daemons that follow the copy:
// what some thousand backends change within a few seconds.
const recentRows = 4096

type replicaKey struct{ partition, key string }

// Replace implements Consumer.
func (r *Replica) Replace(rows []Row, version Version) { r.Keep(rows, version, nil, false) }

// Keep implements SectionConsumer.
func (r *Replica) Keep(rows []Row, version Version, missed []Row, isGapless bool) {
	r.mutex.Lock()
	r.rows = map[replicaKey]Row{}
	r.keep(rows, version)
	if isGapless {
		r.remember(missed)
	} else {
		r.recent, r.recentAfter = nil, version
	}
	r.announce()
	r.mutex.Unlock()
	r.Consumer.Replace(rows, version)
}

// Change implements Consumer. All changes are remembered for daemons that follow this
// one, and those of the section are kept.
func (r *Replica) Change(rows []Row, version Version) {
	r.mutex.Lock()
	kept := r.section.Of(rows)
	r.keep(kept, version)
	r.remember(rows)
	r.mutex.Unlock()
	r.Consumer.Change(kept, version)
}

// SetSection implements SectionConsumer.
func (r *Replica) SetSection(section Section) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.section = section
}

// ChangePart implements SectionConsumer. Changes of the rest of the table are not known, so that
// none up to this version can be told to others.
func (r *Replica) ChangePart(rows []Row, version Version) {
	r.mutex.Lock()
	r.keep(rows, version)
	r.recent, r.recentAfter = nil, version
	r.announce()
	r.mutex.Unlock()
	r.Consumer.Change(rows, version)
}

// keep stores rows. mutex must be held.
func (r *Replica) keep(rows []Row, version Version) {
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

// announce wakes those that wait for changed rows. mutex must be held.
func (r *Replica) announce() {
	r.rowsVersion = r.version
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}

// remember keeps changes for daemons that follow the copy. mutex must be held.
func (r *Replica) remember(rows []Row) {
	if len(rows) == 0 {
		return
	}
	r.announce()
	r.recent = append(r.recent, rows...)
	if surplus := len(r.recent) - recentRows; surplus > 0 {
		r.recentAfter = r.recent[surplus-1].Version
		r.recent = append([]Row(nil), r.recent[surplus:]...)
	}
}

// Changed returns a channel that is closed once rows have changed behind a
// version.
func (r *Replica) Changed(after Version) <-chan struct{} {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.rowsVersion > after {
		isNewer := make(chan struct{})
		close(isNewer)
		return isNewer
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed
}

// ChangesSince returns what changed behind a version, or the whole table when
// the changes are not kept so far back. It reports false if only a part of the table is
// kept in that case.
func (r *Replica) ChangesSince(after Version) (changes Changes, isWhole, isKnown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes.Version = r.version
	if after >= r.recentAfter {
		changes.Rows = slices.Clone(r.recentSince(after))
		return changes, false, true
	}
	if r.section.IsPart {
		return changes, false, false
	}
	changes.Rows = r.all()
	return changes, true, true
}

// SectionSince returns what changed in a section behind a version. It reports false if
// changes are not kept so far back.
func (r *Replica) SectionSince(section Section, after Version) (changes Changes, isKnown bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes.Version = r.version
	if after < r.recentAfter {
		return changes, false
	}
	changes.Rows = section.Of(r.recentSince(after))
	return changes, true
}

// recentSince returns the latest changes behind a version. mutex must be held.
func (r *Replica) recentSince(after Version) []Row {
	from := sort.Search(len(r.recent), func(index int) bool { return r.recent[index].Version > after })
	return r.recent[from:]
}

// all returns all rows. mutex must be held.
func (r *Replica) all() []Row {
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	return rows
}

// Since returns the version of the copy, and all rows if it is newer than a
// version.
func (r *Replica) Since(after Version) (rows []Row, version Version, isNewer bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.version <= after {
		return nil, r.version, false
	}
	return r.all(), r.version, true
}

// Rows implements SectionConsumer.
func (r *Replica) Rows() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.rows)
}

// Section returns the part of the table that is kept.
func (r *Replica) Section() Section {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.section
}

// Peers is the second source of a followed table: the copies of other daemons.
type Peers interface {
	// Newer returns the copy of a daemon that holds a version above the given one,
	// if some daemon that was asked does, else the copy that was confirmed last.
	// It reports false when no daemon answered.
	Newer(ctx context.Context, table string, after Version) (PeerCopy, bool)
	// NewerPart is Newer for a table of which daemons may keep a section each.
	NewerPart(ctx context.Context, table string, after Version) (PeerCopy, bool)
}

// PeerCopy is another daemon's copy of a table.
type PeerCopy struct {
	// Rows are the whole table, or the section, if IsNewer is set, else none.
	Rows []Row
	// Section is the part of the table that the copy has, and Width how much of all keys.
	Section Section
	Width   float64
	IsNewer bool
	Version Version
	// Age is for how long, when the call came, the other daemon's copy may not have
	// been the present state.
	Age time.Duration
}
