package job

import (
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
)

// roomLogInterval bounds the lines on the room of one service.
const roomLogInterval = time.Second

// mostDeclined is how many requests for the slot of an item an owner declines in the time
// in which its sight changes. More are a shortage that is not seen yet: where none was
// accepted beyond what was seen, 154 came in 0.4 s.
const mostDeclined = 4

// rooms decides how many items the fleet's services have room for. It remembers the
// demand of each service, and what it gave of an excess.
type rooms struct {
	policy batchcapacity.Policy
	// mutex guards the fields below it.
	mutex    sync.Mutex
	services map[string]*serviceRoom
	random   *rand.Rand
}

// serviceRoom is what is known of one service.
type serviceRoom struct {
	demand   batchcapacity.Demand
	loggedAt time.Time
	// given and declined count the items that gave way and those that stayed although a
	// request asked for their slots, since a time; owed is how many this owner gives.
	since                 time.Time
	owed, given, declined int
}

// newRooms returns rooms of which nothing is known yet.
func newRooms(policy batchcapacity.Policy, random *rand.Rand) *rooms {
	if policy == "" {
		policy = batchcapacity.PolicyFree
	}
	return &rooms{policy: policy, services: map[string]*serviceRoom{}, random: random}
}

// of returns what is known of a service. mutex must be held.
func (r *rooms) of(service string) *serviceRoom {
	known, exists := r.services[service]
	if !exists {
		known = &serviceRoom{}
		r.services[service] = known
	}
	return known
}

// note records the load of a service and returns its period before and now.
func (r *rooms) note(service string, load backend.ServiceLoad, now time.Time) (before, after time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	demand := &r.of(service).demand
	before = demand.Period()
	demand.Note(batchcapacity.Load(load), now)
	return before, demand.Period()
}

// decide returns the room at a service.
func (r *rooms) decide(policy batchcapacity.Policy, service string, load backend.ServiceLoad, itemTime, age time.Duration) batchcapacity.Capacity {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(service)
	return batchcapacity.Decide(policy, batchcapacity.Observation{
		Load: batchcapacity.Load(load), Demand: &known.demand, ItemTime: itemTime, Age: age,
	})
}

// mustGiveWay reports whether one of own items gives way to an online request that asks for
// it. Of what all owners have too much each gives its part once in the time in which they
// hear of each other.
func (r *rooms) mustGiveWay(service string, load backend.ServiceLoad, own int, age time.Duration, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(service)
	if now.Sub(known.since) >= age {
		excess := batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &known.demand, Age: age})
		known.since, known.given, known.declined = now, 0, 0
		known.owed = shareOf(excess, min(own, load.Batch), load.Batch, r.random)
	}
	if known.given < known.owed || known.declined >= mostDeclined {
		known.given++
		return true
	}
	known.declined++
	return false
}

// isRoomy reports whether online requests find places at a service by asking.
func (r *rooms) isRoomy(service string, load backend.ServiceLoad, age time.Duration) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return batchcapacity.ExcessItems(batchcapacity.Observation{Load: batchcapacity.Load(load), Demand: &r.of(service).demand, Age: age}) == 0
}

// mayLog reports whether the room of a service may be logged again.
func (r *rooms) mayLog(service string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(service)
	if now.Sub(known.loggedAt) < roomLogInterval {
		return false
	}
	known.loggedAt = now
	return true
}
