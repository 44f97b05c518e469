package job

import (
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
)

// capacityLogInterval is the minimum time between two log lines on the capacity of a service.
const capacityLogInterval = time.Second

// maxDeclined is how many preemptions an owner declines at a service in one window. More
// requests indicate a shortage that the observed load doesn't show yet; if none beyond the
// observed load were accepted, 150 requests and more would follow in less than half a second.
const maxDeclined = 4

// capacityTracker decides how many items the services have capacity for. It records the
// demand of each service and the preemptions in the current window.
type capacityTracker struct {
	policy batchcapacity.Policy
	// mutex guards the fields below it.
	mutex    sync.Mutex
	services map[string]*serviceCapacity
	random   *rand.Rand
}

// serviceCapacity is the state of one service.
type serviceCapacity struct {
	demand   batchcapacity.Demand
	loggedAt time.Time
	// windowStart is when the current window began. toPreempt is how many items this owner
	// preempts in it; preempted and declined count the requests for which an item was
	// preempted and those for which none was.
	windowStart                    time.Time
	toPreempt, preempted, declined int
}

func newCapacityTracker(policy batchcapacity.Policy, random *rand.Rand) *capacityTracker {
	if policy == "" {
		policy = batchcapacity.PolicyFree
	}
	return &capacityTracker{policy: policy, services: map[string]*serviceCapacity{}, random: random}
}

// service returns the state of a service. mutex must be held.
func (t *capacityTracker) service(service string) *serviceCapacity {
	known, exists := t.services[service]
	if !exists {
		known = &serviceCapacity{}
		t.services[service] = known
	}
	return known
}

// recordLoad records the load of a service, and returns the period of its demand before and
// after.
func (t *capacityTracker) recordLoad(service string, load backend.ServiceLoad, now time.Time) (before, after time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	demand := &t.service(service).demand
	before = demand.Period()
	demand.Note(batchcapacity.Load(load), now)
	return before, demand.Period()
}

// decide returns the capacity of a service for batch items.
func (t *capacityTracker) decide(policy batchcapacity.Policy, service string, load backend.ServiceLoad, itemTime, age time.Duration) batchcapacity.Capacity {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.service(service)
	return batchcapacity.Decide(policy, batchcapacity.Observation{
		Load: batchcapacity.Load(load), Demand: &known.demand, ItemTime: itemTime, Age: age,
	})
}

// mustPreempt reports whether one of the owner's items is preempted for an online request
// that found no slot. Each owner preempts its share of the excess once per window; age is
// the window, in which reports of an action reach the other owners.
func (t *capacityTracker) mustPreempt(service string, load backend.ServiceLoad, own int, age time.Duration, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.service(service)
	if now.Sub(known.windowStart) >= age {
		excess := batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &known.demand, Age: age})
		known.windowStart, known.preempted, known.declined = now, 0, 0
		known.toPreempt = shareOf(excess, min(own, load.Batch), load.Batch, t.random)
	}
	if known.preempted < known.toPreempt || known.declined >= maxDeclined {
		known.preempted++
		return true
	}
	known.declined++
	return false
}

// hasFreeSlots reports whether the service has no excess of batch items.
func (t *capacityTracker) hasFreeSlots(service string, load backend.ServiceLoad, age time.Duration) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &t.service(service).demand, Age: age}) == 0
}

// mayLog reports whether the capacity of a service may be logged again, and counts it as
// logged.
func (t *capacityTracker) mayLog(service string, now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.service(service)
	if now.Sub(known.loggedAt) < capacityLogInterval {
		return false
	}
	known.loggedAt = now
	return true
}
