package ratelimit

import (
	"sync"
	"time"

	"topazpulley/internal/tenant"
)

// keptTime is how long the bucket of a tenant without requests is kept. By then
// it is full; a new one would start nearly empty.
const keptTime = 10 * time.Minute

// longestBreak is the longest time between two decisions on a tenant of which the second
// goes on from the first: a daemon asks a silent keeper again after keeperRest.
const longestBreak = 2 * keeperRest

// kept is one tenant's bucket with the newest limit that any daemon told.
type kept struct {
	limit  Limit
	bucket bucket
	usedAt time.Time
	// since is when this daemon began to decide on the tenant, without a longer break
	// than longestBreak.
	since time.Time
}

// shareOf tells what a daemon grants of a limit that it has decided on for so long.
type shareOf func(limit tenant.Limit, decidedFor time.Duration) share

// buckets are those of the tenants that this daemon decides on. mutex guards
// byTenant and sweptAt.
type buckets struct {
	mutex    sync.Mutex
	byTenant map[string]*kept
	sweptAt  time.Time
}

func newBuckets() *buckets { return &buckets{byTenant: map[string]*kept{}} }

// apply carries out an operation on a tenant's bucket. granted tells what this
// daemon grants of the limit.
func (b *buckets) apply(operation Operation, name string, limit Limit, granted shareOf, now time.Time) Answer {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.sweep(now)
	held := b.byTenant[name]
	if held == nil {
		held = &kept{limit: limit, bucket: newBucket(granted(limit.Limit, 0), now), since: now, usedAt: now}
		b.byTenant[name] = held
	}
	if limit.Config >= held.limit.Config {
		held.limit = limit
	}
	if now.Sub(held.usedAt) > longestBreak {
		held.since = now
	}
	held.usedAt = now
	return held.apply(operation, granted(held.limit.Limit, now.Sub(held.since)), now)
}

func (k *kept) apply(operation Operation, own share, now time.Time) Answer {
	answer := Answer{IsGranted: true, Config: k.limit.Config}
	k.bucket.flow(own, now)
	answer.Level = k.bucket.level
	isUnbounded := !k.limit.IsBounded()
	switch {
	case isUnbounded:
	case operation == OperationCharge:
		k.bucket.charge(own, now)
	case operation == OperationReturn:
		k.bucket.give(own, now)
	case !k.bucket.take(own, now):
		answer.IsGranted = false
		answer.WaitMilliseconds = k.bucket.wait(own, now).Milliseconds()
	}
	return answer
}

// sweep forgets tenants that have not called for long. mutex must be held.
func (b *buckets) sweep(now time.Time) {
	if now.Sub(b.sweptAt) < keptTime/2 {
		return
	}
	b.sweptAt = now
	for name, each := range b.byTenant {
		if now.Sub(each.usedAt) > keptTime {
			delete(b.byTenant, name)
		}
	}
}
