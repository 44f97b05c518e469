// Package tabletest provides Memory, an in-memory table.Store for tests. It can
// inject faults, serve stale reads and compact its history.
package tabletest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"topazpulley/internal/boottime"
	"topazpulley/internal/table"
)

// Fault is the fault injected into one call. The zero value is none.
type Fault uint8

// The faults.
const (
	// FaultNone answers the call normally.
	FaultNone Fault = iota
	// FaultRefuse does nothing and returns table.ErrorNotDone.
	FaultRefuse
	// FaultThrottle does nothing and returns table.ErrorThrottled.
	FaultThrottle
	// FaultLose carries out a commit and returns table.ErrorUnknown.
	FaultLose
	// FaultLate returns table.ErrorUnknown and carries out a commit when Settle is
	// called, if its conditions are still met.
	FaultLate
)

// CommitFaults returns a function for SetDecide that injects the fault next into the next
// commit and later into all following ones. Other calls have no fault.
func CommitFaults(next, later Fault) func(call string) Fault {
	chosen := next
	return func(call string) Fault {
		if call != "commit" {
			return FaultNone
		}
		fault := chosen
		chosen = later
		return fault
	}
}

type rowKey struct{ table, partition, key string }

// Memory is an in-memory store. It is safe for concurrent use; mutex guards the fields
// below it.
type Memory struct {
	mutex sync.Mutex
	rows  map[rowKey]table.Row
	// history has all changes after the version oldest, in order.
	history []table.Row
	oldest  table.Version
	version table.Version
	objects map[string][]byte
	// changed is closed at the next change of version or history.
	changed chan struct{}
	// late are the transactions that Settle carries out.
	late []table.Transaction
	// stale is the state that reads return; nil means the current one.
	stale   *snapshot
	commits int
	// rejected is the number of commits that exceeded a limit.
	rejected int

	// Decide returns the fault for a call by the call's name; nil means none. It is
	// called with mutex locked and must not call the store.
	Decide func(call string) Fault
}

// snapshot is the state that stale reads return.
type snapshot struct {
	rows    map[rowKey]table.Row
	version table.Version
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{rows: map[rowKey]table.Row{}, objects: map[string][]byte{}, changed: make(chan struct{}), version: 1}
}

var _ table.Store = (*Memory)(nil)

// SetDecide sets Decide.
func (m *Memory) SetDecide(decide func(call string) Fault) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.Decide = decide
}

func (m *Memory) decide(call string) Fault {
	if m.Decide == nil {
		return FaultNone
	}
	return m.Decide(call)
}

func failed(kind table.ErrorKind, call string) error { return &table.Error{Kind: kind, Call: call} }

// refuse returns the error of a fault that skips the call, or nil.
func refuse(fault Fault, call string) error {
	switch fault {
	case FaultRefuse:
		return failed(table.ErrorNotDone, call)
	case FaultThrottle:
		return failed(table.ErrorThrottled, call)
	}
	return nil
}

// Commit implements table.Store.
func (m *Memory) Commit(_ context.Context, transaction table.Transaction) (table.Version, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fault := m.decide("commit")
	if err := refuse(fault, "commit"); err != nil {
		return 0, err
	}
	if exceedsLimits(transaction) {
		m.rejected++
		return 0, failed(table.ErrorInvalid, "commit")
	}
	if fault == FaultLate {
		m.late = append(m.late, transaction)
		return 0, failed(table.ErrorUnknown, "commit")
	}
	version, err := m.apply(transaction)
	if fault == FaultLose {
		return 0, failed(table.ErrorUnknown, "commit")
	}
	return version, err
}

// Settle carries out the commits delayed by FaultLate, in order.
func (m *Memory) Settle() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, transaction := range m.late {
		_, _ = m.apply(transaction)
	}
	m.late = nil
}

// Version returns the version of the newest transaction.
func (m *Memory) Version() table.Version {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.version
}

// Commits returns how many transactions were carried out.
func (m *Memory) Commits() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.commits
}

func (m *Memory) apply(transaction table.Transaction) (table.Version, error) {
	if conflict := m.conflict(transaction); conflict != nil {
		return 0, conflict
	}
	m.version++
	m.commits++
	for _, write := range transaction.Writes {
		m.record(table.Row{Table: write.Table, Partition: transaction.Partition, Key: write.Key, Value: write.Value, Version: m.version})
	}
	for _, removal := range transaction.Removals {
		m.record(table.Row{Table: removal.Table, Partition: transaction.Partition, Key: removal.Key, Version: m.version, Deleted: true})
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return m.version, nil
}

func (m *Memory) record(row table.Row) {
	key := rowKey{row.Table, row.Partition, row.Key}
	if row.Deleted {
		delete(m.rows, key)
	} else {
		m.rows[key] = row
	}
	m.history = append(m.history, row)
}

func (m *Memory) conflict(transaction table.Transaction) error {
	current := []table.Row{}
	isMet := true
	for _, condition := range transaction.Conditions {
		row, exists := m.rows[rowKey{condition.Table, transaction.Partition, condition.Key}]
		if !exists {
			row = table.Row{Table: condition.Table, Partition: transaction.Partition, Key: condition.Key}
		}
		isMet = isMet && row.Version == condition.Version
		current = append(current, row)
	}
	if isMet {
		return nil
	}
	return &table.ConflictError{Rows: current}
}

// Freeze makes reads return the current state until Thaw.
func (m *Memory) Freeze() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stale = &snapshot{rows: map[rowKey]table.Row{}, version: m.version}
	for key, row := range m.rows {
		m.stale.rows[key] = row
	}
}

// Thaw makes reads return the current state again.
func (m *Memory) Thaw() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stale = nil
}

// Compact drops the history and wakes all watches. Watches from before the current version
// fail with table.ErrorCompacted.
func (m *Memory) Compact() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.history = nil
	m.oldest = m.version
	close(m.changed)
	m.changed = make(chan struct{})
}

// Read implements table.Store.
func (m *Memory) Read(_ context.Context, wanted table.Range) (table.Page, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("read"), "read"); err != nil {
		return table.Page{}, err
	}
	rows, version := m.rows, m.version
	if m.stale != nil {
		rows, version = m.stale.rows, m.stale.version
	}
	page := table.Page{Version: version}
	for key, row := range rows {
		isInRange := key.key >= wanted.From && (wanted.Before == "" || key.key < wanted.Before)
		if key.table == wanted.Table && key.partition == wanted.Partition && isInRange {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Key < page.Rows[b].Key })
	if wanted.Limit > 0 && len(page.Rows) > wanted.Limit {
		page.Rows, page.More = page.Rows[:wanted.Limit], true
	}
	return page, nil
}

// Partitions implements table.Store.
func (m *Memory) Partitions(_ context.Context, name, after string) ([]string, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("partitions"), "partitions"); err != nil {
		return nil, false, err
	}
	found := map[string]bool{}
	for key := range m.rows {
		if key.table == name && key.partition > after {
			found[key.partition] = true
		}
	}
	partitions := make([]string, 0, len(found))
	for partition := range found {
		partitions = append(partitions, partition)
	}
	sort.Strings(partitions)
	return partitions, false, nil
}

// Watch implements table.Store.
func (m *Memory) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, changed, err := m.changesAfter(name, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, failed(table.ErrorUnknown, "watch")
		case <-timer.C:
			changes, _, err = m.changesAfter(name, after)
			return changes, err
		case <-changed:
		}
	}
}

func (m *Memory) changesAfter(name string, after table.Version) (table.Changes, chan struct{}, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("watch"), "watch"); err != nil {
		return table.Changes{}, nil, err
	}
	if after < m.oldest {
		return table.Changes{}, nil, failed(table.ErrorCompacted, "watch")
	}
	changes := table.Changes{Version: m.version, AsOf: boottime.Now()}
	for _, row := range m.history {
		if row.Table == name && row.Version > after {
			changes.Rows = append(changes.Rows, row)
		}
	}
	return changes, m.changed, nil
}

// PutObject implements table.Store.
func (m *Memory) PutObject(_ context.Context, name string, content []byte) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("put_object"), "put_object"); err != nil {
		return err
	}
	if len(content) > table.MaxObjectBytes {
		return failed(table.ErrorInvalid, "put_object")
	}
	if m.objectBytes()-len(m.objects[name])+len(content) > table.MaxObjectsBytes {
		return failed(table.ErrorFull, "put_object")
	}
	m.objects[name] = append([]byte(nil), content...)
	return nil
}

// DropObject implements table.Store.
func (m *Memory) DropObject(_ context.Context, name string) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("drop_object"), "drop_object"); err != nil {
		return err
	}
	delete(m.objects, name)
	return nil
}

// objectsPage is the maximum number of names that Objects returns.
const objectsPage = 1000

// Objects implements table.Store.
func (m *Memory) Objects(_ context.Context, prefix, after string) ([]string, bool, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("objects"), "objects"); err != nil {
		return nil, false, err
	}
	names := []string{}
	for name := range m.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if len(names) > objectsPage {
		return names[:objectsPage], true, nil
	}
	return names, false, nil
}

// GetObject implements table.Store.
func (m *Memory) GetObject(_ context.Context, name string) ([]byte, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err := refuse(m.decide("get_object"), "get_object"); err != nil {
		return nil, err
	}
	content, exists := m.objects[name]
	if !exists {
		return nil, failed(table.ErrorMissing, "get_object")
	}
	return append([]byte(nil), content...), nil
}
