package job

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchroom"
	"topazpulley/internal/periodic"
)

// roomLogInterval bounds the lines on the room of one service.
const roomLogInterval = time.Second

// mostDeclined is how many requests for the slot of an item an owner declines in the time
// in which its sight changes. More are a shortage that is not seen yet: where none was
// accepted beyond what was seen, 154 came in 0.4 s.
const mostDeclined = 4

// rooms decides how many items the fleet's services have room for. It remembers the
// demand of each service, and where room was short.
type rooms struct {
	policy batchroom.Policy
	// mutex guards the fields below it.
	mutex    sync.Mutex
	services map[string]*serviceRoom
	random   *rand.Rand
}

// serviceRoom is what is known of one service.
type serviceRoom struct {
	demand   batchroom.Demand
	loggedAt time.Time
	// given and declined count the items that gave way and those that stayed although a
	// request asked for their slots, since a time; owed is how many this owner gives.
	since                 time.Time
	owed, given, declined int
}

func newRooms(policy batchroom.Policy, random *rand.Rand) *rooms {
	if policy == "" {
		policy = batchroom.PolicyFree
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
	demand.Note(batchroom.Load(load), now)
	return before, demand.Period()
}

// decide returns the room at a service.
func (r *rooms) decide(service string, load backend.ServiceLoad, itemTime, age time.Duration) batchroom.Room {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(service)
	return batchroom.Decide(r.policy, batchroom.Sight{
		Load: batchroom.Load(load), Demand: &known.demand, ItemTime: itemTime, Age: age,
	})
}

// mustGiveWay reports whether one of own items gives way to an online request that asks for
// it. Of what all owners have too much each gives its part once in the time in which they
// hear of each other.
func (r *rooms) mustGiveWay(service string, load backend.ServiceLoad, own int, age time.Duration, now time.Time) bool {
	if r.policy == batchroom.PolicyFree {
		return true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.of(service)
	if now.Sub(known.since) >= age {
		excess := batchroom.Excess(batchroom.Sight{Load: batchroom.Load(load), Demand: &known.demand, Age: age})
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

// places is how many slots batch has in the mean at a service.
func (r *rooms) places(service string, load backend.ServiceLoad) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return batchroom.Places(batchroom.Load(load), &r.of(service).demand)
}

// isRoomy reports whether online requests find places at a service by asking.
func (r *rooms) isRoomy(service string, load backend.ServiceLoad, age time.Duration) bool {
	if r.policy == batchroom.PolicyFree {
		return false
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return batchroom.Excess(batchroom.Sight{Load: batchroom.Load(load), Demand: &r.of(service).demand, Age: age}) == 0
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

// observeDemand samples the load of the services that run items until the context ends.
// It goes on while no job is owned: the rhythm of demand takes two periods to show.
func (s *Service) observeDemand(ctx context.Context) {
	if s.rooms.policy == batchroom.PolicyFree {
		return
	}
	periodic.Run(ctx, batchroom.SampleInterval, func() {
		now := time.Now()
		for _, service := range s.itemServices() {
			before, after := s.rooms.note(service, s.backends.ServiceLoad(service, now), now)
			if (before == 0) != (after == 0) {
				s.log.Info("demand_rhythm", "service", service, "period_ms", after.Milliseconds(), "period_before_ms", before.Milliseconds())
			}
		}
	})
}

// mustGiveWay reports whether an item at a back end gives way to an online request that
// found no place.
func (s *Service) mustGiveWay(id string, now time.Time) bool {
	instance, found := s.backends.Get(id)
	if !found {
		return true
	}
	load := s.backends.ServiceLoad(instance.Service, now)
	if s.rooms.mustGiveWay(instance.Service, load, s.backends.OwnBatch(instance.Service), s.propagationWindow(), now) {
		return true
	}
	s.metrics.BatchRoom.WithLabelValues("stays").Inc()
	s.log.Info("item_stays", "backend", id, "service", instance.Service, "slots", load.Slots, "online", load.Online, "batch", load.Batch)
	return false
}

// asksOnly reports whether work at a service's back ends beyond their slots is requests
// that ask for a place and go elsewhere when there is none. It is so while there is room:
// the items of a back end need not make way for those that only ask.
func (s *Service) asksOnly(service string, now time.Time) bool {
	current := s.holder.Current()
	if current == nil {
		return false
	}
	configured, found := current.Service(service)
	if !found || configured.ReservationTime <= 0 {
		return false
	}
	return s.rooms.isRoomy(service, s.backends.ServiceLoad(service, now), s.propagationWindow())
}

// itemServices lists the services to which items go.
func (s *Service) itemServices() []string {
	current := s.holder.Current()
	if current == nil {
		return nil
	}
	seen := map[string]bool{}
	services := []string{}
	for _, route := range current.JobRoutes() {
		for _, target := range route.Targets {
			if !seen[target.Service] {
				seen[target.Service] = true
				services = append(services, target.Service)
			}
		}
	}
	return services
}

// roomAt decides how many items all owners together send to a service in the next window.
func (s *Service) roomAt(service string, now time.Time) batchroom.Room {
	load := s.backends.ServiceLoad(service, now)
	itemTime := s.itemTime()
	room := s.rooms.decide(service, load, itemTime, s.propagationWindow())
	waiting := s.placer.all
	s.metrics.BatchRoom.WithLabelValues(roomLabel(room, waiting)).Inc()
	if waiting > room.Lasting && s.rooms.mayLog(service, now) {
		s.log.Info("batch_room", "service", service, "policy", string(s.rooms.policy), "slots", load.Slots, "online", load.Online, "batch", load.Batch,
			"room_now", room.Now, "room_lasting", room.Lasting, "reserve", room.Reserve, "period_ms", room.Period.Milliseconds(), "item_ms", itemTime.Milliseconds(),
			"waiting", waiting, "own_waiting", s.placer.own)
	}
	return room
}

// roomLabel names what bounds the items that wait.
func roomLabel(room batchroom.Room, waiting int) string {
	switch {
	case waiting <= room.Lasting:
		return "all"
	case room.Lasting < room.Now:
		return "rhythm"
	}
	return "reserve"
}

// itemTime is how long items run.
func (s *Service) itemTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.clock.expected()
}

// mustRun reports whether an item cannot wait for a burst to pass.
func (s *Service) mustRun(waiting *work, service string, now time.Time) bool {
	itemTime := s.itemTime()
	timing := batchroom.Timing{
		UntilDue: waiting.owner.due.Sub(now), Left: leftToRun(itemTime, waiting.owner.ranFor(waiting, now)), Spare: urgentSlack,
	}
	places := s.rooms.places(service, s.backends.ServiceLoad(service, now))
	backlog := batchroom.Backlog{Waiting: s.placer.all, Places: places, ItemTime: itemTime}
	return batchroom.MustRun(timing, backlog)
}
