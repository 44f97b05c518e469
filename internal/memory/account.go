// Package memory keeps one account of the bytes that a daemon holds on behalf of
// others: bodies that were read and answers that callers have not read yet. A daemon on
// a small machine is ended when it passes its memory, and everybody's requests with it;
// one caller who sends much or reads nothing must not bring that about.
//
// Invariants:
//   - What is held beyond smallBytes apiece never passes the limit: large requests wait
//     or are refused, small ones go on.
//   - A holder that reads nothing is cut before anybody is refused for want of what it
//     holds, the one that has read nothing for longest first.
package memory

import (
	"context"
	"sync"
	"time"
)

// Purpose tells what bytes are held for.
type Purpose string

// The purposes.
const (
	// PurposeRequest is the body of a caller's request.
	PurposeRequest Purpose = "request"
	// PurposeAnswer is the body of a back end's whole answer.
	PurposeAnswer Purpose = "answer"
	// PurposeUnread is what a caller has not read of its answer.
	PurposeUnread Purpose = "unread"
)

// Purposes are all of them.
func Purposes() []Purpose { return []Purpose{PurposeRequest, PurposeAnswer, PurposeUnread} }

const (
	// smallBytes is what is held for anybody whatever the account says: a prompt or a
	// short answer, which small machines bear for as many callers as they have
	// descriptors for.
	smallBytes = 16 << 10
	// stalledTime is for how long a caller must have read nothing to be cut for others'
	// sake: tens of round trips, and half of the shortest objectives, so that those who
	// wait behind what it holds can still be in time.
	stalledTime = 150 * time.Millisecond
	// lookPause is the time between two looks for callers to cut.
	lookPause = 25 * time.Millisecond
)

// Reader is one whose unread bytes are held.
type Reader interface {
	// StalledSince is when it last read anything.
	StalledSince() time.Time
	// Cut gives up what it has not read.
	Cut()
}

// Account counts held bytes against a limit. It is safe for concurrent use; mutex
// guards the fields behind it. A nil account counts nothing and has no limit.
type Account struct {
	limit int64

	mutex   sync.Mutex
	total   int64
	held    map[Purpose]int64
	readers map[Reader]struct{}
	// changed is closed and replaced when bytes are released.
	changed chan struct{}
}

// NewAccount returns an account with a limit in bytes; 0 means none.
func NewAccount(limit int64) *Account {
	return &Account{limit: limit, held: map[Purpose]int64{}, readers: map[Reader]struct{}{}, changed: make(chan struct{})}
}

// Held returns the bytes that are held for a purpose.
func (a *Account) Held(purpose Purpose) int64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.held[purpose]
}

// Holding is bytes on an account, held by one goroutine at a time. The zero value holds
// nothing on no account.
type Holding struct {
	account *Account
	purpose Purpose
	size    int64
}

// Open returns a holding of no bytes yet.
func (a *Account) Open(purpose Purpose) Holding { return Holding{account: a, purpose: purpose} }

// TryGrow holds more bytes and reports whether there was room.
func (h *Holding) TryGrow(size int) bool {
	if h.account == nil {
		return true
	}
	h.account.mutex.Lock()
	defer h.account.mutex.Unlock()
	return h.grow(int64(size))
}

// grow holds more bytes if there is room. The account's mutex must be held.
func (h *Holding) grow(size int64) bool {
	account := h.account
	isSmall := h.size+size <= smallBytes
	if account.limit > 0 && !isSmall && account.total+size > account.limit {
		return false
	}
	h.size += size
	account.total += size
	account.held[h.purpose] += size
	return true
}

// Grow holds more bytes and waits for room until the context ends. Meanwhile readers
// that have read nothing for a while are cut, one at a time.
func (h *Holding) Grow(ctx context.Context, size int) error {
	for !h.TryGrow(size) {
		changed := h.account.awaitRelease()
		select {
		case <-changed:
		case <-time.After(lookPause):
			h.account.cutStalled(time.Now())
		case <-ctx.Done():
			return &FullError{Purpose: h.purpose, Size: size}
		}
	}
	return nil
}

// Shrink gives bytes back.
func (h *Holding) Shrink(size int) {
	if h.account == nil || size == 0 {
		return
	}
	account := h.account
	account.mutex.Lock()
	defer account.mutex.Unlock()
	h.size -= int64(size)
	account.total -= int64(size)
	account.held[h.purpose] -= int64(size)
	close(account.changed)
	account.changed = make(chan struct{})
}

// Release gives all of it back.
func (h *Holding) Release() { h.Shrink(int(h.size)) }

func (a *Account) awaitRelease() <-chan struct{} {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.changed
}

// Watch has a reader considered when bytes are wanted, until Forget.
func (a *Account) Watch(reader Reader) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.readers[reader] = struct{}{}
}

// Forget ends Watch.
func (a *Account) Forget(reader Reader) {
	if a == nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.readers, reader)
}

// cutStalled cuts the reader that has read nothing for longest, if any has for
// stalledTime.
func (a *Account) cutStalled(now time.Time) {
	a.mutex.Lock()
	readers := make([]Reader, 0, len(a.readers))
	for each := range a.readers {
		readers = append(readers, each)
	}
	a.mutex.Unlock()
	var slowest Reader
	oldest := now.Add(-stalledTime)
	for _, each := range readers {
		if since := each.StalledSince(); since.Before(oldest) {
			slowest, oldest = each, since
		}
	}
	if slowest == nil {
		return
	}
	a.Forget(slowest)
	slowest.Cut()
}

// FullError tells that there was no room for bytes in time.
type FullError struct {
	Purpose Purpose
	// Size is how many bytes were wanted.
	Size int
}

// Error implements error.
func (e *FullError) Error() string {
	return "no memory is left for a body of kind " + string(e.Purpose)
}
