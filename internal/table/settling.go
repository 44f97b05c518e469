package table

import (
	"time"

	"topazpulley/internal/boottime"
)

// rewriteTime is the time after a recovery of the store within which rows that expired
// during the outage may still be missing. It must stay below the 2 s after which a backend
// that has left must get no requests.
const rewriteTime = 1800 * time.Millisecond

// UnsettledCause is why a follower does not take a missing row for a removed one.
type UnsettledCause string

// The causes.
const (
	// UnsettledNot means that a missing row is a removed one.
	UnsettledNot UnsettledCause = ""
	// UnsettledCallFailed means that the last call for the table failed.
	UnsettledCallFailed UnsettledCause = "call_failed"
	// UnsettledReturn means that the store has just answered again.
	UnsettledReturn UnsettledCause = "store_returned"
	// UnsettledPeer means that the rows are a copy of another daemon.
	UnsettledPeer UnsettledCause = "copy_of_peer"
	// UnsettledUpstream means that the rows come from an upstream that is not settled.
	UnsettledUpstream UnsettledCause = "upstream_unsettled"
)

// settling describes the last outage of the store. After it, the owners of expired rows
// write them again.
type settling struct {
	// isUnavailable is set until the store answers again.
	isUnavailable bool
	// cause is why rows may be missing.
	cause UnsettledCause
	// recoveredAt is the time of the recovery, and mark the same time for detecting that
	// the machine was suspended since.
	recoveredAt time.Time
	mark        boottime.Mark
	// completeAt is when all expired rows should have been written again.
	completeAt boottime.Instant
}

// startSettling records that expired rows may be missing from the table for rewriteTime.
func (f *Follower) startSettling(cause UnsettledCause) {
	f.settling.Store(&settling{cause: cause, recoveredAt: time.Now(), mark: f.Clock.Mark(), completeAt: f.Now().Add(rewriteTime)})
}

// Unsettled returns why a missing row is not taken for a removed one.
func (f *Follower) Unsettled() UnsettledCause {
	if f.IsSettled() {
		return UnsettledNot
	}
	return f.settling.Load().cause
}

// IsSettled reports whether a missing row means that the row was removed. It is false while
// the store is unavailable and for rewriteTime after its recovery, because rows may have
// expired meanwhile. If the machine was suspended since the recovery, it is false until a
// state from completeAt or later is confirmed.
func (f *Follower) IsSettled() bool {
	last := f.settling.Load()
	if last == nil {
		return true
	}
	if last.isUnavailable {
		return false
	}
	if f.Clock.HasSleptSince(last.mark) {
		return boottime.Instant(f.confirmed.Load()) >= last.completeAt
	}
	return time.Since(last.recoveredAt) >= rewriteTime
}
