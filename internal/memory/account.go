// Package memory counts the bytes that a daemon buffers for callers: request bodies, answers,
// and output that callers have not read. Without a limit a daemon on a small machine runs out
// of memory and is killed with all its requests.
//
// Invariant: an allocation of requests or unread output grows beyond SmallBytes only if all
// counted bytes then stay within the limit. Answers are counted regardless of the limit,
// because an answer that a backend has produced is delivered.
package memory

import "sync"

// Purpose is what bytes are allocated for.
type Purpose string

// The purposes.
const (
	// PurposeRequest is the body of a caller's request.
	PurposeRequest Purpose = "request"
	// PurposeAnswer is the body of a backend's complete answer.
	PurposeAnswer Purpose = "answer"
	// PurposeUnread is the part of an answer that the caller has not read.
	PurposeUnread Purpose = "unread"
)

// Purposes returns all purposes.
func Purposes() []Purpose { return []Purpose{PurposeRequest, PurposeAnswer, PurposeUnread} }

// SmallBytes is the size up to which an allocation is always allowed, enough for a prompt or a
// short answer.
const SmallBytes = 16 << 10

// Account counts allocated bytes against a limit. It is safe for concurrent use; mutex guards
// the fields after it. A nil account counts nothing and has no limit.
type Account struct {
	limit int64

	mutex sync.Mutex
	total int64
	used  map[Purpose]int64
}

// NewAccount returns an account with a limit in bytes; 0 means none.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, used: map[Purpose]int64{}}
}

// Used returns the bytes allocated for a purpose.
func (a *Account) Used(purpose Purpose) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.used[purpose]
}

// HasRoom reports whether size bytes could be allocated now. It allocates none, so that
// requests that are only announced don't block others.
func (a *Account) HasRoom(size int) bool {
	if a == nil {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.hasRoom(0, int64(size))
}

// hasRoom reports whether an allocation may grow by size bytes. mutex must be held.
func (a *Account) hasRoom(allocated, size int64) bool {
	return a.limit <= 0 || allocated+size <= SmallBytes || a.total+size <= a.limit
}

// Allocation is a number of bytes on an account, used by one goroutine at a time. The zero
// value belongs to no account and counts nothing.
type Allocation struct {
	account *Account
	purpose Purpose
	size    int64
}

// Open returns an empty allocation.
func (a *Account) Open(purpose Purpose) Allocation { return Allocation{account: a, purpose: purpose} }

// TryGrow adds bytes if the limit allows it, and reports whether it did.
func (a *Allocation) TryGrow(size int) bool {
	if a.account == nil {
		return true
	}
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	if !a.account.hasRoom(a.size, int64(size)) {
		return false
	}
	a.add(int64(size))
	return true
}

// Grow adds bytes regardless of the limit.
func (a *Allocation) Grow(size int) {
	if a.account == nil {
		return
	}
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.add(int64(size))
}

// Shrink removes bytes.
func (a *Allocation) Shrink(size int) {
	if a.account == nil {
		return
	}
	a.account.mutex.Lock()
	defer a.account.mutex.Unlock()
	a.add(-int64(size))
}

// add adds bytes; size may be negative. The account's mutex must be held.
func (a *Allocation) add(size int64) {
	a.size += size
	a.account.total += size
	a.account.used[a.purpose] += size
}

// Release removes all bytes.
func (a *Allocation) Release() { a.Shrink(int(a.size)) }
