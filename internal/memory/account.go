// Package memory keeps one account of the bytes that a daemon holds on behalf of
// callers: bodies that were read and answers that they have not read yet. A daemon on a
// small machine is ended when it passes its memory, and everybody's requests with it.
//
// Invariant: a request or unread bytes beyond SmallBytes begin to be held only while all
// that is held then stays within the limit. Answers are counted whatever the limit says,
// because one that a backend has made is delivered.
package memory

import "sync"

// Purpose tells what bytes are held for.
type Purpose string

// The purposes.
const (
	// PurposeRequest is the body of a caller's request.
	PurposeRequest Purpose = "request"
	// PurposeAnswer is the body of a backend's whole answer.
	PurposeAnswer Purpose = "answer"
	// PurposeUnread is what a caller has not read of its answer.
	PurposeUnread Purpose = "unread"
)

// Purposes are all of them.
func Purposes() []Purpose { return []Purpose{PurposeRequest, PurposeAnswer, PurposeUnread} }

// SmallBytes is what is held for anybody whatever the account says: a prompt or a short
// answer, which small machines bear for as many callers as they have descriptors for.
const SmallBytes = 16 << 10

// Account counts held bytes against a limit. It is safe for concurrent use; mutex
// guards the fields behind it. A nil account counts nothing and has no limit.
type Account struct {
	limit int64

	mutex sync.Mutex
	total int64
	held  map[Purpose]int64
}

// NewAccount returns an account with a limit in bytes; 0 means none.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, held: map[Purpose]int64{}}
}

// Used returns the bytes that are held for a purpose.
func (a *Account) Used(purpose Purpose) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.held[purpose]
}

// HasRoom reports whether so many bytes could be held now. It holds none: what was only
// announced must not keep others out.
func (a *Account) HasRoom(size int) bool {
	if a == nil {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.hasRoom(0, int64(size))
}

// hasRoom reports whether a holding of a size may grow. mutex must be held.
func (a *Account) hasRoom(held, size int64) bool {
	return a.limit <= 0 || held+size <= SmallBytes || a.total+size <= a.limit
}

// Allocation is bytes on an account, held by one goroutine at a time. The zero value holds
// nothing on no account.
type Allocation struct {
	account *Account
	purpose Purpose
	size    int64
}

// Open returns a holding of no bytes yet.
func (a *Account) Open(purpose Purpose) Allocation { return Allocation{account: a, purpose: purpose} }

// TryGrow holds more bytes and reports whether there was room.
func (h *Allocation) TryGrow(size int) bool {
	if h.account == nil {
		return true
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	if !h.account.hasRoom(h.size, int64(size)) {
		return false
	}
	h.add(int64(size))
	return true
}

// Grow holds more bytes, whether or not there is room.
func (h *Allocation) Grow(size int) {
	if h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.add(int64(size))
}

// Shrink gives bytes back.
func (h *Allocation) Shrink(size int) {
	if h.account == nil {
		return
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	h.add(-int64(size))
}

// add counts bytes. The account's mutex must be held.
func (h *Allocation) add(size int64) {
	h.size += size
	h.account.total += size
	h.account.held[h.purpose] += size
}

// Release gives all of it back.
func (h *Allocation) Release() { h.Shrink(int(h.size)) }
