// Package memory counts the bytes that a daemon buffers for callers: request bodies, answers,
// and output that callers have not read. Without a limit a daemon on a small machine runs out
// of memory and is killed with all its requests.
//
// Invariant: an allocation of requests or unread output grows beyond SmallBytes only if all
// counted bytes then stay within the limit. Answers up to AssuredBytes are counted regardless of the
// limit, because an answer that a backend has produced is delivered; longer ones wait until they fit
// the share of the limit that is theirs.
package memory

import (
	"context"
	"fmt"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"
)

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

// AssuredBytes is the size up to which an answer is kept whatever the memory in use.
const AssuredBytes = 1 << 20

// longAnswerPercent is the share of the limit, in percent, for answers beyond AssuredBytes. The rest is
// for requests, however long a backend takes over such an answer.
const longAnswerPercent = 75

// TooLongError is the error of an answer that never fits the memory limit.
type TooLongError struct {
	// Size and Limit are in bytes.
	Size, Limit int64
}

// Error implements error.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("an answer of %d bytes does not fit the %d bytes allowed for long answers", e.Size, e.Limit)
}

// WaitError is the error of an answer that has waited in vain for memory.
type WaitError struct {
	// Size is in bytes.
	Size int64
	// Cause is why the wait ended.
	Cause error
}

// Error implements error.
func (e *WaitError) Error() string {
	return fmt.Sprintf("an answer of %d bytes has waited in vain for memory: %v", e.Size, e.Cause)
}

// Unwrap returns why the wait ended.
func (e *WaitError) Unwrap() error { return e.Cause }

// Account counts allocated bytes against a limit. It is safe for concurrent use; mutex guards
// the fields after it. A nil account counts nothing and has no limit.
type Account struct {
	limit int64
	// longAnswers is the share for answers beyond AssuredBytes; nil without a limit.
	longAnswers *semaphore.Weighted

	mutex sync.Mutex
	total int64
	used  map[Purpose]int64
}

// NewAccount returns an account with a limit in bytes; 0 means none.
func NewAccount(limit int64) *Account {
	made := &Account{limit: limit, used: map[Purpose]int64{}}
	if limit > 0 {
		made.longAnswers = semaphore.NewWeighted(made.longAnswerLimit())
	}
	return made
}

func (a *Account) longAnswerLimit() int64 { return a.limit * longAnswerPercent / 100 }

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
	// reserved is the part of size that Reserve took of the share for long answers.
	reserved int64
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

// Reserve adds the bytes of an answer that tells its length. An answer beyond AssuredBytes waits until
// it fits the share of the limit for long answers; Reserve returns a *TooLongError if it never does,
// and a *WaitError with the context's error if it does not before the context ends. It is called at
// most once before Release.
func (a *Allocation) Reserve(ctx context.Context, size int) error {
	if a.account == nil {
		return nil
	}
	if size > AssuredBytes && a.account.longAnswers != nil {
		if limit := a.account.longAnswerLimit(); int64(size) > limit {
			return &TooLongError{Size: int64(size), Limit: limit}
		}
		if err := a.account.longAnswers.Acquire(ctx, int64(size)); err != nil {
			return errors.WithStack(&WaitError{Size: int64(size), Cause: err})
		}
		a.reserved = int64(size)
	}
	a.Grow(size)
	return nil
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
func (a *Allocation) Release() {
	if a.reserved > 0 {
		a.account.longAnswers.Release(a.reserved)
		a.reserved = 0
	}
	a.Shrink(int(a.size))
}
