package table

import "sort"

const (
	// maxRecentRows and maxRecentBytes bound the changes kept for daemons that follow a copy.
	maxRecentRows  = 4096
	maxRecentBytes = 8 << 20
	// minSupersededRows is the number of superseded changes up to which they are not cleared.
	minSupersededRows = 64
)

// recentChanges are the latest changes of a table in order. Of several changes of a row only the
// newest counts. The changes after version after are complete; older ones are no longer kept.
type recentChanges struct {
	after   Version
	changes []recentChange
	// dropped is the number of changes that were removed from the front of changes.
	dropped int
	// newest has the position of each row's newest change, counted from the first that was added.
	newest map[replicaKey]int
	// bytes is the size of the changes that are not superseded, and superseded the number of the
	// others.
	bytes      int
	superseded int
}

type recentChange struct {
	Row
	// isSuperseded is set if the row has changed again. The value is dropped then.
	isSuperseded bool
}

func (c recentChange) key() replicaKey { return replicaKey{c.Partition, c.Key} }

func (c recentChange) bytes() int { return len(c.Partition) + len(c.Key) + len(c.Value) }

// reset forgets all changes up to a version.
func (r *recentChanges) reset(after Version) { *r = recentChanges{after: after} }

// add adds changes that follow the others.
func (r *recentChanges) add(rows []Row) {
	if r.newest == nil {
		r.newest = map[replicaKey]int{}
	}
	for _, row := range rows {
		added := recentChange{Row: row}
		r.supersede(added.key())
		r.newest[added.key()] = r.dropped + len(r.changes)
		r.changes = append(r.changes, added)
		r.bytes += added.bytes()
	}
	r.trim()
	r.clearSuperseded()
}

// supersede marks the change of a row that has changed again.
func (r *recentChanges) supersede(key replicaKey) {
	position, isKept := r.newest[key]
	if !isKept {
		return
	}
	old := &r.changes[position-r.dropped]
	r.bytes -= old.bytes()
	old.isSuperseded, old.Value = true, nil
	r.superseded++
}

// trim removes the oldest changes until the others are within the bounds.
func (r *recentChanges) trim() {
	surplus := 0
	for len(r.changes)-surplus-r.superseded > maxRecentRows || r.bytes > maxRecentBytes {
		oldest := r.changes[surplus]
		surplus++
		r.after = oldest.Version
		if oldest.isSuperseded {
			r.superseded--
			continue
		}
		r.bytes -= oldest.bytes()
		delete(r.newest, oldest.key())
	}
	if surplus > 0 {
		r.dropped += surplus
		r.changes = append([]recentChange(nil), r.changes[surplus:]...)
	}
}

// clearSuperseded removes the superseded changes once they are the majority.
func (r *recentChanges) clearSuperseded() {
	if r.superseded < minSupersededRows || 2*r.superseded < len(r.changes) {
		return
	}
	kept := make([]recentChange, 0, len(r.changes)-r.superseded)
	for _, change := range r.changes {
		if change.isSuperseded {
			continue
		}
		r.newest[change.key()] = len(kept)
		kept = append(kept, change)
	}
	r.changes, r.dropped, r.superseded = kept, 0, 0
}

// since returns the newest change of each row that changed after a version, in order.
func (r *recentChanges) since(after Version) []Row {
	from := sort.Search(len(r.changes), func(index int) bool { return r.changes[index].Version > after })
	rows := make([]Row, 0, len(r.changes)-from)
	for _, change := range r.changes[from:] {
		if !change.isSuperseded {
			rows = append(rows, change.Row)
		}
	}
	return rows
}
