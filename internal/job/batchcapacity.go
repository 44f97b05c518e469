package job

import (
	"context"
	"math"
	"time"

	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/periodic"
)

// observeDemand samples the load of the services that run items until the context ends,
// also while no job is owned: a period is detected only after it has recurred.
func (s *Service) observeDemand(ctx context.Context) {
	if s.capacityTracker.policy == batchcapacity.PolicyFree {
		return
	}
	periodic.Run(ctx, batchcapacity.SampleInterval, func() {
		now := time.Now()
		for _, service := range s.itemServices() {
			before, after := s.capacityTracker.recordLoad(service, s.backends.ServiceLoad(service, now), now)
			if (before == 0) != (after == 0) {
				s.log.Info("demand_rhythm", "service", service, "period_ms", after.Milliseconds(), "period_before_ms", before.Milliseconds())
			}
		}
	})
}

// mustPreempt reports whether an item at a backend is preempted for an online request that
// found no slot there.
func (s *Service) mustPreempt(id string, now time.Time) bool {
	instance, found := s.backends.Get(id)
	if !found {
		return true
	}
	if s.capacityPolicy(instance.Service) == batchcapacity.PolicyFree {
		return true
	}
	load := s.backends.ServiceLoad(instance.Service, now)
	if s.capacityTracker.mustPreempt(instance.Service, load, s.backends.OwnBatch(instance.Service), s.propagationWindow(), now) {
		return true
	}
	s.metrics.BatchRoom.WithLabelValues("stays").Inc()
	s.log.Info("item_stays", "backend", id, "service", instance.Service, "slots", load.Slots, "online", load.Online, "batch", load.Batch)
	return false
}

// capacityPolicy returns the policy for batch items at a service. It is PolicyFree where
// backends make no reservations: requests wait at one backend there and don't try others.
func (s *Service) capacityPolicy(service string) batchcapacity.Policy {
	current := s.holder.Current()
	if current == nil {
		return batchcapacity.PolicyFree
	}
	configured, found := current.Service(service)
	if !found || configured.ReservationTime <= 0 {
		return batchcapacity.PolicyFree
	}
	return s.capacityTracker.policy
}

// hasFreeSlots reports whether online requests find slots at a service. Work beyond the slots
// of one of its backends is then most likely requests that try several backends.
func (s *Service) hasFreeSlots(service string, now time.Time) bool {
	if s.capacityPolicy(service) == batchcapacity.PolicyFree {
		return false
	}
	return s.capacityTracker.hasFreeSlots(service, s.backends.ServiceLoad(service, now), s.propagationWindow())
}

// itemServices lists the services that run items.
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

// batchCapacity returns how many items all owners together may send to a service in the next
// window.
func (s *Service) batchCapacity(service string, now time.Time) batchcapacity.Capacity {
	load := s.backends.ServiceLoad(service, now)
	itemTime, policy := s.itemTime(), s.capacityPolicy(service)
	capacity := s.capacityTracker.decide(policy, service, load, itemTime, s.propagationWindow())
	capacity = dropLooseBounds(capacity, policy, load.Slots-load.Online-load.Batch)
	waiting := s.placer.allWaiting
	s.metrics.BatchRoom.WithLabelValues(capacityLabel(capacity, waiting)).Inc()
	if waiting > capacity.Deferrable && s.capacityTracker.mayLog(service, now) {
		s.log.Info("batch_room", "service", service, "policy", string(policy), "slots", load.Slots, "online", load.Online, "batch", load.Batch,
			"room", capacity.Deferrable, "reserve", capacity.Reserve, "period_ms", capacity.Period.Milliseconds(), "item_ms", itemTime.Milliseconds(),
			"waiting", waiting, "own_waiting", s.placer.ownWaiting)
	}
	return capacity
}

// unbounded is a capacity that only the slots of each backend limit.
const unbounded = math.MaxInt32

// dropLooseBounds removes bounds on the capacity of a service that aren't below its free
// slots. The quotas by backend divide the free slots among owners already; dividing the sum
// as well would round each owner's share twice.
func dropLooseBounds(capacity batchcapacity.Capacity, policy batchcapacity.Policy, free int) batchcapacity.Capacity {
	capacity.Urgent = unbounded
	isBounded := policy == batchcapacity.PolicyReserve || policy == batchcapacity.PolicyPeriodic
	if !isBounded || capacity.Deferrable >= free {
		capacity.Deferrable = unbounded
	}
	return capacity
}

// capacityLabel returns the metric label for what limits the waiting items.
func capacityLabel(capacity batchcapacity.Capacity, waiting int) string {
	switch {
	case waiting <= capacity.Deferrable:
		return "all"
	case capacity.Period > 0:
		return "rhythm"
	}
	return "reserve"
}

// itemTime returns how long items are expected to run.
func (s *Service) itemTime() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.itemTimes.expected()
}

// mustRun reports whether an item can't wait until a burst of online requests has passed.
func (s *Service) mustRun(item *ownedItem, service string, now time.Time) bool {
	itemTime := s.itemTime()
	share := s.placer.share(service)
	timing := batchcapacity.Timing{
		UntilDue: item.owner.due.Sub(now), Remaining: max(itemTime-item.owner.ranFor(item, now), itemTime/4), Spare: urgentSlack,
		Wait: share.wait(itemTime),
	}
	backlog := batchcapacity.Backlog{Waiting: s.placer.allWaiting, MeanSlots: share.meanSlots, ItemTime: itemTime}
	return batchcapacity.MustRun(timing, backlog)
}
