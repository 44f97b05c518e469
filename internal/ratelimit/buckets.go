package ratelimit

import (
	"sync"
	"time"

	"topazpulley/internal/tenant"
)

// bucketRetention is how long an unused bucket is kept. It is full by then; a new one would
// start almost empty.
const bucketRetention = 10 * time.Minute

// maxDecisionGap is the longest gap between two decisions of one decision period: a daemon asks
// a silent coordinator again after silentRetryTime.
const maxDecisionGap = 2 * silentRetryTime

// tenantBucket is a tenant's bucket with the newest limit received from any daemon.
type tenantBucket struct {
	limit  Limit
	bucket bucket
	usedAt time.Time
	// decidingSince is the start of the current decision period, which has no gap longer than
	// maxDecisionGap.
	decidingSince time.Time
}

// shareFunc returns what a daemon grants of a limit after deciding on it for a given time.
type shareFunc func(limit tenant.Limit, decidedFor time.Duration) share

// buckets are the buckets of the tenants that this daemon decides on. mutex guards byTenant and
// sweptAt.
type buckets struct {
	mutex    sync.Mutex
	byTenant map[string]*tenantBucket
	sweptAt  time.Time
}

func newBuckets() *buckets { return &buckets{byTenant: map[string]*tenantBucket{}} }

// apply executes an operation on a tenant's bucket, with the share that granted returns.
func (b *buckets) apply(operation Operation, name string, limit Limit, granted shareFunc, now time.Time) Answer {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	entry := b.byTenant[name]
	if entry == nil {
		entry = &tenantBucket{limit: limit, bucket: newBucket(granted(limit.Limit, 0), now), decidingSince: now, usedAt: now}
		b.byTenant[name] = entry
	}
	if limit.Config >= entry.limit.Config {
		entry.limit = limit
	}
	if now.Sub(entry.usedAt) > maxDecisionGap {
		entry.decidingSince = now
	}
	entry.usedAt = now
	return entry.apply(operation, granted(entry.limit.Limit, now.Sub(entry.decidingSince)), now)
}

func (t *tenantBucket) apply(operation Operation, granted share, now time.Time) Answer {
	answer := Answer{IsGranted: true, Config: t.limit.Config}
	t.bucket.refill(granted, now)
	answer.Level = t.bucket.level
	isUnbounded := !t.limit.IsBounded()
	switch {
	case isUnbounded:
	case operation == OperationCharge:
		t.bucket.charge(granted, now)
	case operation == OperationReturn:
		t.bucket.refund(granted, now)
	case !t.bucket.take(granted, now):
		answer.IsGranted = false
		answer.WaitMilliseconds = t.bucket.retryAfter(granted, now).Milliseconds()
	}
	return answer
}

// sweep deletes buckets that are unused for longer than bucketRetention. mutex must be held.
func (b *buckets) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < bucketRetention/2 {
		return
	}
	b.sweptAt = now
	for name, each := range b.byTenant {
		if now.Sub(each.usedAt) > bucketRetention {
			delete(b.byTenant, name)
		}
	}
}
