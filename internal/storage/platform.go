// Package storage is the client side of the platform's services: a
// transactional table, an object store and a machine list. HTTPClient implements
// the Services interface over the platform's HTTP protocol. Client wraps Services
// with timeouts, retries, a rate limit and a circuit breaker.
package storage

import (
	"context"
	"strings"

	"topazpulley/internal/failure"
)

// Version is the version of a row; it increases with every commit. The version of
// a row that does not exist is 0.
type Version uint64

// Row is one table row.
type Row struct {
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Version Version `json:"version"`
	// OperationID identifies the transaction that wrote the row.
	OperationID string `json:"operation_id"`
}

// Condition requires that a row has exactly this version.
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
	// OperationID is chosen by the writer; retries use the same id.
	OperationID string      `json:"operation_id"`
	Conditions  []Condition `json:"conditions"`
	Writes      []Write     `json:"writes"`
}

// TransactionResult is the platform's answer to a transaction.
type TransactionResult struct {
	Committed bool    `json:"committed"`
	Version   Version `json:"version"`
	// Conflicts contains the current state of the rows whose condition failed.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// ScanRequest reads rows in key order.
type ScanRequest struct {
	Prefix string
	// After excludes keys up to and including this one; empty means no bound. In a
	// reverse scan it excludes keys from this one on.
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

// Machine is one entry of the machine list, which may be out of date.
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
	// Transact commits or returns a *ConflictError with the rows whose condition
	// failed.
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
	// GetObject reads a complete object.
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

// ConflictError means that a transaction changed nothing because a condition
// failed.
type ConflictError struct {
	// Rows contains the current state of the rows whose condition failed.
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

// Row returns the current state of the row with the key, if its condition failed.
func (e *ConflictError) Row(key string) (Row, bool) {
	for _, row := range e.Rows {
		if row.Key == key {
			return row, true
		}
	}
	return Row{}, false
}

// wroteAll reports whether the transaction itself wrote all conflicting rows: an
// earlier try was committed and its answer was lost. Without conflicting rows it
// returns false.
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

// unavailable returns the failure of a call that the platform did not answer.
func unavailable(cause error, what string) *failure.Error {
	return failure.Wrap(cause, failure.KindUnavailable, "platform_unavailable", "the platform did not answer (%s)", what)
}
