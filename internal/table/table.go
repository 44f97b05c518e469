// Package table is the product's view of a durable, partitioned, watchable
// table and of an object store beside it. Transactions are conditional on row
// versions, which is the only thing that safety rests on. Follower keeps a
// consumer in step with a table through gaps, compaction and stale reads.
package table

import (
	"context"
	"strings"
	"time"

	"topazpulley/internal/boottime"
)

// Version orders the states of a table; one counter rises with every
// transaction. As the version of a row, 0 stands for a row that does not
// exist.
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

// Condition demands that a row has exactly this version.
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
// conditions hold, else nothing.
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
	// Limit bounds the number of rows; 0 means the store's own bound.
	Limit int
}

// Page is the rows of a range as of one moment.
type Page struct {
	Rows []Row
	// More tells that the range holds further rows.
	More bool
	// Version is that of the state which was read.
	Version Version
}

// Changes are the rows of a table that changed, in order.
type Changes struct {
	Rows []Row
	// Version is where to continue.
	Version Version
	// AsOf is a moment at which nothing but these rows had changed behind the version
	// that was given; zero means unknown.
	AsOf boottime.Instant
}

// Store is the durable store. Every call makes one attempt.
type Store interface {
	// Commit applies a transaction; a failed condition is a *ConflictError.
	Commit(ctx context.Context, transaction Transaction) (Version, error)
	// Read returns rows of one partition.
	Read(ctx context.Context, wanted Range) (Page, error)
	// Partitions lists a table's partitions after the given one.
	Partitions(ctx context.Context, table, after string) (partitions []string, more bool, err error)
	// Watch returns the changes after a version as soon as there are any, or
	// none when the wait is over.
	Watch(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
	// PutObject stores an object under a name.
	PutObject(ctx context.Context, name string, content []byte) error
	// GetObject reads an object.
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// ErrorKind says what is known after a failed call.
type ErrorKind uint8

// The kinds of error.
const (
	// ErrorNotDone tells that nothing was done: the store refused the call.
	ErrorNotDone ErrorKind = iota
	// ErrorThrottled tells that nothing was done because of a rate limit.
	ErrorThrottled
	// ErrorUnknown tells that no answer came: the call may have been carried
	// out, or may be later.
	ErrorUnknown
	// ErrorCompacted tells that the history before a version is gone.
	ErrorCompacted
	// ErrorMissing tells that an object does not exist.
	ErrorMissing
	// ErrorInvalid tells that the call or its answer makes no sense.
	ErrorInvalid
)

// String returns the name that logs carry.
func (k ErrorKind) String() string {
	return [...]string{"not_done", "throttled", "unknown", "compacted", "missing", "invalid"}[k]
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

// ConflictError tells that a transaction changed nothing because a condition
// did not hold.
type ConflictError struct {
	// Rows is the present state of the rows that the conditions name.
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

// Row returns the present state of a row that the conditions name. A row that
// does not exist has version 0.
func (e *ConflictError) Row(table, key string) Row {
	for _, row := range e.Rows {
		if row.Table == table && row.Key == key {
			return row
		}
	}
	return Row{Table: table, Key: key}
}
