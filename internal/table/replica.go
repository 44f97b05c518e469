package table

import (
	"context"
	"sync"
	"time"
)

// Replica keeps a copy of a followed table, for daemons that cannot reach the
// store, and hands everything on. mutex guards rows and version.
type Replica struct {
	Consumer Consumer

	mutex   sync.Mutex
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
// what some thousand back ends change within a few seconds.
const recentRows = 4096

type replicaKey struct{ partition, key string }

// Replace implements Consumer.
func (r *Replica) Replace(rows []Row, version Version) {
	r.mutex.Lock()
	r.rows = map[replicaKey]Row{}
	r.keep(rows, version)
	r.recent, r.recentAfter = nil, version
	r.announce()
	r.mutex.Unlock()
	r.Consumer.Replace(rows, version)
}

// Change implements Consumer.
func (r *Replica) Change(rows []Row, version Version) {
	r.mutex.Lock()
	r.keep(rows, version)
	r.remember(rows)
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
// the changes are not kept so far back.
func (r *Replica) ChangesSince(after Version) (changes Changes, isWhole bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changes.Version = r.version
	if after < r.recentAfter {
		changes.Rows = r.all()
		return changes, true
	}
	for _, row := range r.recent {
		if row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, false
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

// Peers is the second source of a followed table: the copies of other daemons.
type Peers interface {
	// Newer returns the copy of a daemon that holds a version above the given one,
	// if some daemon that was asked does, else the copy that was confirmed last.
	// It reports false when no daemon answered.
	Newer(ctx context.Context, table string, after Version) (PeerCopy, bool)
}

// PeerCopy is another daemon's copy of a table.
type PeerCopy struct {
	// Rows are the whole table if IsNewer is set, else none.
	Rows    []Row
	IsNewer bool
	Version Version
	// Age is for how long, when the call came, the other daemon's copy may not have
	// been the present state.
	Age time.Duration
}
