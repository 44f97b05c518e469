// Package table defines the interface to a durable store of partitioned, watchable
// tables and of objects. Transactions are conditional on row versions. Follower
// keeps a Consumer up to date with a table, also across outages, compaction and
// stale reads. Replica keeps a copy for other daemons. Availability, Forwarding and
// Monotonic wrap a Store.
package table

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/boottime"
)

// Version orders the states of all tables: one counter increases with every
// transaction. As the version of a row, 0 means that the row does not exist.
type Version int64

// Row is one row of a table.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   Version
	// Deleted marks the removal of a row in a list of changes.
	Deleted bool
}

// Condition requires that a row has exactly this version.
type Condition struct {
	Table   string
	Key     string
	Version Version
}

// Write sets a row.
type Write struct {
	Table string
	Key   string
	Value []byte
}

// Removal deletes a row.
type Removal struct {
	Table string
	Key   string
}

// Transaction applies all writes and removals in one partition if all
// conditions are met, else nothing.
type Transaction struct {
	Partition  string
	Conditions []Condition
	Writes     []Write
	Removals   []Removal
}

// Range selects rows of a partition in key order.
type Range struct {
	Table     string
	Partition string
	// From is the first key; empty means from the start.
	From string
	// Before excludes keys from this one on; empty means to the end.
	Before string
	// Limit is the maximum number of rows; 0 means the store's own limit.
	Limit int
}

// Page is the rows of a range at one version.
type Page struct {
	Rows []Row
	// More is set if the range has further rows.
	More bool
	// Version is the version of the state that was read.
	Version Version
}

// Changes are the rows of a table that changed, in order.
type Changes struct {
	Rows []Row
	// Version is the version to continue from.
	Version Version
	// AsOf is a time at which these rows were all changes since the given version; zero
	// means unknown.
	AsOf boottime.Instant
}

// Store is the durable store. Every call makes one attempt.
type Store interface {
	// Commit applies a transaction. It returns a *ConflictError if a condition is not met.
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	// Read returns rows of one partition.
	Read(ctx context.Context, wanted Range) (Page, error)
	// Partitions lists a table's partitions after the given one.
	Partitions(ctx context.Context, table, after string) (partitions []string, more bool, err error)
	// Watch returns the changes after a version as soon as there are any, or none
	// after the wait.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, content []byte) error
	// GetObject reads an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// DropObject removes an object. It returns nil if there is none.
	DropObject(ctx context.Context, name string) error
	// Objects lists the names of objects with a prefix after the given one.
	Objects(ctx context.Context, prefix, after string) (names []string, more bool, err error)
}

// ErrorKind is the outcome of a failed call.
type ErrorKind uint8

// The kinds of error.
const (
	// ErrorNotDone means that the store refused the call and nothing was done.
	ErrorNotDone ErrorKind = iota
	// ErrorThrottled means that nothing was done because of a rate limit.
	ErrorThrottled
	// ErrorUnknown means that no answer was received. The call may have been carried
	// out or may be carried out later.
	ErrorUnknown
	// ErrorCompacted means that the changes after the given version are no longer kept.
	ErrorCompacted
	// ErrorMissing means that an object does not exist.
	ErrorMissing
	// ErrorInvalid means that the call is malformed or exceeds a limit of the store. Nothing
	// was done, and the same call will fail again.
	ErrorInvalid
	// ErrorFull means that the store has no room for an object. Nothing was done.
	ErrorFull
)

// errorKindNames are the names of the kinds in logs.
var errorKindNames = [...]string{"not_done", "throttled", "unknown", "compacted", "missing", "invalid", "full"}

// String returns the name used in logs. A kind of a later build has none.
func (k ErrorKind) String() string {
	if int(k) >= len(errorKindNames) {
		return "other"
	}
	return errorKindNames[k]
}

// IsKind reports whether an error is a failed call to the store with this outcome.
func IsKind(err error, kind ErrorKind) bool {
	var failed *Error
	return errors.As(err, &failed) && failed.Kind == kind
}

// Error is a failed call to the store.
type Error struct {
	Kind  ErrorKind
	Call  string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := "store call " + e.Call + ": " + e.Kind.String()
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// ConflictError means that a transaction changed nothing because a condition was
// not met.
type ConflictError struct {
	// Rows are the current rows that the conditions name.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, row := range e.Rows {
		keys = append(keys, row.Table+"/"+row.Key)
	}
	return "conflict on " + strings.Join(keys, ", ")
}

// Row returns the current state of a row that the conditions name. A row that does
// not exist has version 0.
func (e *ConflictError) Row(table, key string) Row {
	for _, row := range e.Rows {
		if row.Table == table && row.Key == key {
			return row
		}
	}
	return Row{Table: table, Key: key}
}
