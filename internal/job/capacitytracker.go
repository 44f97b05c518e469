package job

import (
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
)

// capacityLogInterval bounds the lines on the room of one service.
const capacityLogInterval = time.Second

// maxDeclined is how many requests for the slot of an item an owner declines in the time
// in which its sight changes. More are a shortage that is not seen yet: where none was
// accepted beyond what was seen, 154 came in 0.4 s.
const maxDeclined = 4

// rooms decides how many items the fleet's services have room for. It remembers the
// demand of each service, and what it gave of an excess.
type capacityTracker struct {
	policy batchcapacity.Policy
	// mutex guards the fields below it.
	mutex    sync.Mutex
	services map[string]*serviceCapacity
	random   *rand.Rand
}

// serviceCapacity is what is known of one service.
type serviceCapacity struct {
	demand   batchcapacity.Demand
	loggedAt time.Time
	// given and declined count the items that gave way and those that stayed although a
	// request asked for their slots, since a time; owed is how many this owner gives.
	windowStart                    time.Time
	toPreempt, preempted, declined int
}

// newCapacityTracker returns rooms of which nothing is known yet.
func newCapacityTracker(policy batchcapacity.Policy, random *rand.Rand) *capacityTracker {
	if policy == "" {
		policy = batchcapacity.PolicyFree
	}
	return &capacityTracker{policy: policy, services: map[string]*serviceCapacity{}, random: random}
}

// of returns what is known of a service. mutex must be held.
func (r *capacityTracker) service(service string) *serviceCapacity {
	known, exists := r.services[service]
	if !exists {
		known = &serviceCapacity{}
		r.services[service] = known
	}
	return known
}

// note records the load of a service and returns its period before and now.
func (r *capacityTracker) recordLoad(service string, load backend.ServiceLoad, now time.Time) (before, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	demand := &r.service(service).demand
	before = demand.Period()
	demand.Note(batchcapacity.Load(load), now)
	return before, demand.Period()
}

// decide returns the room at a service.
func (r *capacityTracker) decide(policy batchcapacity.Policy, service string, load backend.ServiceLoad, itemTime, age time.Duration) batchcapacity.Capacity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.service(service)
	return batchcapacity.Decide(policy, batchcapacity.Observation{
		Load: batchcapacity.Load(load), Demand: &known.demand, ItemTime: itemTime, Age: age,
	})
}

// mustPreempt reports whether one of own items gives way to an online request that asks for
// it. Of what all owners have too much each gives its part once in the time in which they
// hear of each other.
func (r *capacityTracker) mustPreempt(service string, load backend.ServiceLoad, own int, age time.Duration, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.service(service)
	if now.Sub(known.windowStart) >= age {
		excess := batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &known.demand, Age: age})
		known.windowStart, known.preempted, known.declined = now, 0, 0
		known.toPreempt = shareOf(excess, min(own, load.Batch), load.Batch, r.random)
	}
	if known.preempted < known.toPreempt || known.declined >= maxDeclined {
		known.preempted++
		return true
	}
	known.declined++
	return false
}

// hasFreeSlots reports whether online requests find places at a service by asking.
func (r *capacityTracker) hasFreeSlots(service string, load backend.ServiceLoad, age time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &r.service(service).demand, Age: age}) == 0
}

// mayLog reports whether the room of a service may be logged again.
func (r *capacityTracker) mayLog(service string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.service(service)
	if now.Sub(known.loggedAt) < capacityLogInterval {
		return false
	}
	known.loggedAt = now
	return true
}
