// Package storage is the client side of the platform's services: a
// transactional table, an object store and a machine list. The interfaces are
// what the rest of the system uses; HTTPClient is the adapter for the
// platform's HTTP protocol. Client bounds, retries and breaks calls.
package storage

import (
	"context"
	"strings"

	"topazpulley/internal/failure"
)

// Version orders the states of a row; it rises with every commit. 0 stands for
// a row that does not exist.
type Version uint64

// Row is one table row.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	// OperationID names the transaction that wrote the row.
	OperationID string `json:"operation_id"`
}

// Condition demands that a row has exactly this version.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, else nothing.
type Transaction struct {
	// OperationID is chosen by the writer; a retry carries the same one.
	OperationID string      `json:"operation_id"`
	Conditions  []Condition `json:"conditions"`
	Writes      []Write     `json:"writes"`
}

// TransactionResult is the platform's answer to a transaction.
type TransactionResult struct {
	Committed bool    `json:"committed"`
	Version   Version `json:"version"`
	// Conflicts holds the present state of the rows whose condition failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ScanRequest reads rows in key order.
type ScanRequest struct {
	Prefix string
	// After excludes keys up to and including this one; empty means from the
	// start. In a reverse scan it is a bound from above.
	After   string
	Limit   int
	Reverse bool
}

// MachineState is the platform's view of a machine.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
)

// MachineKind says what runs on a machine.
type MachineKind string

// The kinds of machine.
const (
	MachineDaemon MachineKind = "daemon"
	MachineEngine MachineKind = "engine"
)

// Machine is one entry of the lagging machine list.
type Machine struct {
	Name    string       `json:"name"`
	Kind    MachineKind  `json:"kind"`
	Address string       `json:"address"`
	Zone    string       `json:"zone"`
	Region  string       `json:"region"`
	Service string       `json:"service,omitempty"`
	State   MachineState `json:"state"`
}

// Table is the transactional table service.
type Table interface {
	// Transact commits or returns a *ConflictError with the rows that differ.
	Transact(ctx context.Context, transaction Transaction) (Version, error)
	// Get reads one row; a missing row has version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Scan reads a range of rows.
	Scan(ctx context.Context, request ScanRequest) ([]Row, error)
}

// Objects is the object store. Objects are immutable.
type Objects interface {
	// Put stores an object; putting the same name again is not an error.
	Put(ctx context.Context, name string, content []byte) error
	// GetObject reads a whole object.
	GetObject(ctx context.Context, name string) ([]byte, error)
	// GetRange reads length bytes from offset.
	GetRange(ctx context.Context, name string, offset, length int64) ([]byte, error)
}

// Machines is the machine list.
type Machines interface {
	// List returns the machines as the platform last saw them.
	List(ctx context.Context) ([]Machine, error)
}

// Services are all services of the platform together.
type Services interface {
	Table
	Objects
	Machines
}

// ConflictError tells that a transaction changed nothing because a condition
// did not hold.
type ConflictError struct {
	// Rows is the present state of the rows at fault.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, row := range e.Rows {
		keys = append(keys, row.Key)
	}
	return "table conflict on " + strings.Join(keys, ", ")
}

// Row returns the present state of the row with the key, if it is at fault.
func (e *ConflictError) Row(key string) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// wroteAll reports whether the conflicting rows were all written by the
// operation itself, which means that an earlier try took effect although its
// answer was lost. At least one conflicting row must be among the writes.
func (e *ConflictError) wroteAll(transaction Transaction) bool {
	if len(e.Rows) == 0 {
		return false
	}
	for _, row := range e.Rows {
		if row.OperationID != transaction.OperationID {
			return false
		}
	}
	return true
}

// unavailable makes the failure for a platform that cannot be reached.
func unavailable(cause error, what string) *failure.Error {
	return failure.Wrap(cause, failure.KindUnavailable, "platform_unavailable", "the platform did not answer (%s)", what)
}
