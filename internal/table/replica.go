package table

import (
	"context"
	"sync"
)

// Replica keeps a copy of a followed table, for daemons that cannot reach the
// store, and hands everything on. mutex guards rows and version.
type Replica struct {
	Consumer Consumer

	mutex   sync.Mutex
	rows    map[replicaKey]Row
	version Version
}

type replicaKey struct{ partition, key string }

// Replace implements Consumer.
func (r *Replica) Replace(rows []Row, version Version) {
	r.mutex.Lock()
	r.rows = map[replicaKey]Row{}
	r.keep(rows, version)
	r.mutex.Unlock()
	r.Consumer.Replace(rows, version)
}

// Change implements Consumer.
func (r *Replica) Change(rows []Row, version Version) {
	r.mutex.Lock()
	r.keep(rows, version)
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

// Since returns all rows if the copy is newer than a version.
func (r *Replica) Since(after Version) ([]Row, Version, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.version <= after {
		return nil, 0, false
	}
	rows := make([]Row, 0, len(r.rows))
	for _, row := range r.rows {
		rows = append(rows, row)
	}
	return rows, r.version, true
}

// Peers is the second source of a followed table: the copies of other daemons.
type Peers interface {
	// Newer returns all rows of a table as a daemon holds them, if some daemon
	// that was asked holds a version above the given one.
	Newer(ctx context.Context, table string, after Version) ([]Row, Version, bool)
}
