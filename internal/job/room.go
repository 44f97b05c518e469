package job

import (
	"context"
	"math"
	"time"

	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/periodic"
)

// observeDemand samples the load of the services that run items until the context ends.
// It goes on while no job is owned: the rhythm of demand takes two periods to show.
func (s *Service) observeDemand(ctx context.Context) {
	if s.capacities.policy == batchcapacity.PolicyFree {
		return
	}
	periodic.Run(ctx, batchcapacity.SampleInterval, func() {
		now := time.Now()
		for _, service := range s.itemServices() {
			before, after := s.capacities.note(service, s.backends.ServiceLoad(service, now), now)
			if (before == 0) != (after == 0) {
				s.log.Info("demand_rhythm", "service", service, "period_ms", after.Milliseconds(), "period_before_ms", before.Milliseconds())
			}
		}
	})
}

// mustGiveWay reports whether an item at a backend gives way to an online request that
// found no place.
func (s *Service) mustGiveWay(id string, now time.Time) bool {
	instance, found := s.backends.Get(id)
	if !found {
		return true
	}
	if s.roomPolicy(instance.Service) == batchcapacity.PolicyFree {
		return true
	}
	load := s.backends.ServiceLoad(instance.Service, now)
	if s.capacities.mustGiveWay(instance.Service, load, s.backends.OwnBatch(instance.Service), s.propagationWindow(), now) {
		return true
	}
	s.metrics.BatchRoom.WithLabelValues("stays").Inc()
	s.log.Info("item_stays", "backend", id, "service", instance.Service, "slots", load.Slots, "online", load.Online, "batch", load.Batch)
	return false
}

// roomPolicy is the policy of the room at a service. Where backends set no places aside,
// requests do not go on asking but wait at one backend, and items take and leave what
// slots they can.
func (s *Service) roomPolicy(service string) batchcapacity.Policy {
	current := s.holder.Current()
	if current == nil {
		return batchcapacity.PolicyFree
	}
	configured, found := current.Service(service)
	if !found || configured.ReservationTime <= 0 {
		return batchcapacity.PolicyFree
	}
	return s.capacities.policy
}

// isRoomy reports whether requests that ask find places at a service, so that work beyond
// the slots of one backend is most likely such that only asks there.
func (s *Service) isRoomy(service string, now time.Time) bool {
	if s.roomPolicy(service) == batchcapacity.PolicyFree {
		return false
	}
	return s.capacities.isRoomy(service, s.backends.ServiceLoad(service, now), s.propagationWindow())
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
func (s *Service) roomAt(service string, now time.Time) batchcapacity.Capacity {
	load := s.backends.ServiceLoad(service, now)
	itemTime, policy := s.itemTime(), s.roomPolicy(service)
	room := s.capacities.decide(policy, service, load, itemTime, s.propagationWindow())
	room = onlyWhereLess(room, policy, load.Slots-load.Online-load.Batch)
	waiting := s.placer.all
	s.metrics.BatchRoom.WithLabelValues(roomLabel(room, waiting)).Inc()
	if waiting > room.Deferrable && s.capacities.mayLog(service, now) {
		s.log.Info("batch_room", "service", service, "policy", string(policy), "slots", load.Slots, "online", load.Online, "batch", load.Batch,
			"room", room.Deferrable, "reserve", room.Reserve, "period_ms", room.Period.Milliseconds(), "item_ms", itemTime.Milliseconds(),
			"waiting", waiting, "own_waiting", s.placer.own)
	}
	return room
}

// unboundedRoom stands for room that only the slots of single backends bound.
const unboundedRoom = math.MaxInt32

// onlyWhereLess leaves a bound on the room of a service only where it is below the free
// slots. Those are shared among owners by backend already; to share the sum as well draws
// lots twice, by which an owner of one item beside a hundred sent a quarter of what it may.
func onlyWhereLess(room batchcapacity.Capacity, policy batchcapacity.Policy, free int) batchcapacity.Capacity {
	room.Urgent = unboundedRoom
	isBounded := policy == batchcapacity.PolicyReserve || policy == batchcapacity.PolicyPeriodic
	if !isBounded || room.Deferrable >= free {
		room.Deferrable = unboundedRoom
	}
	return room
}

// roomLabel names what bounds the items that wait.
func roomLabel(room batchcapacity.Capacity, waiting int) string {
	switch {
	case waiting <= room.Deferrable:
		return "all"
	case room.Period > 0:
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
func (s *Service) mustRun(waiting *ownedItem, service string, now time.Time) bool {
	itemTime := s.itemTime()
	share := s.placer.share(service)
	timing := batchcapacity.Timing{
		UntilDue: waiting.owner.due.Sub(now), Remaining: max(itemTime-waiting.owner.ranFor(waiting, now), itemTime/4), Spare: urgentSlack,
		Wait: share.wait(itemTime),
	}
	backlog := batchcapacity.Backlog{Waiting: s.placer.all, MeanSlots: share.places, ItemTime: itemTime}
	return batchcapacity.MustRun(timing, backlog)
}
