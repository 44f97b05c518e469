package serving_test

import (
	"context"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/slotqueue"
	"topazpulley/internal/telemetry"
)

// overloadedFleet needs all slots for requests that can be on time. In freeFleet slots
// become free and only overdue requests wait.
var (
	overloadedFleet = slotqueue.Stats{OnTime: 200, Overdue: 300, FreedSlots: 700}
	freeFleet       = slotqueue.Stats{Overdue: 5, FreedSlots: 700}
)

// waitResult describes how one request waited for a slot.
type waitResult struct {
	caller                    *recorder
	sender                    *script
	reserveCalls, onTimeCalls int
	took                      time.Duration
	log                       string
	deprioritized, rejected   float64
}

// waitForSlot serves one request while the other daemons report the given queue stats and
// the first refused reservation attempts fail.
func waitForSlot(fleet slotqueue.Stats, ordersWaiting bool, refused int, lastEvent int64) waitResult {
	return waitForSlotWithLoads(nil, fleet, ordersWaiting, refused, lastEvent)
}

// waitForSlotWithLoads is waitForSlot with loads of other daemons at the backends.
func waitForSlotWithLoads(loads map[string]backend.PeerLoad, fleet slotqueue.Stats, ordersWaiting bool, refused int, lastEvent int64) waitResult {
	policy := &route.Route{Kind: route.KindStream, Resumable: lastEvent > 0, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{last: lastEvent}
	sender := &script{ran: map[string]bool{}, lastSeen: caller}
	for range refused {
		sender.refusals = append(sender.refusals, serving.ReasonRefused)
	}
	core := newCore(sender)
	log := &strings.Builder{}
	core.Logger = slog.New(slog.NewTextHandler(log, nil))
	registry := prometheus.NewRegistry()
	core.Metrics = telemetry.NewServing(registry)
	core.OrdersWaiting = ordersWaiting
	core.Holder.Apply(withReservations(), time.Now())
	core.Backends.SetPeerQueueStats("others", map[string]slotqueue.Stats{"s": fleet})
	core.Backends.SetPeerLoads("others", loads, 0)
	now := time.Now()
	result := waitResult{caller: caller, sender: sender}
	go func() {
		time.Sleep(policy.Objective)
		sender.mutex.Lock()
		defer sender.mutex.Unlock()
		result.onTimeCalls = sender.reserveCalls
	}()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, LastEvent: lastEvent, Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	result.took, result.reserveCalls, result.log = time.Since(now), sender.reserveCalls, log.String()
	result.deprioritized, result.rejected = counterValue(registry, "behind"), counterValue(registry, "turned_away")
	return result
}

// counterValue returns the value of the counter whose name contains the given text; 0 if
// it does not exist yet.
func counterValue(registry *prometheus.Registry, name string) float64 {
	families, err := registry.Gather()
	if err != nil {
		return -1
	}
	for _, family := range families {
		if strings.Contains(family.GetName(), name) {
			return family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return 0
}

// TestOverdueRequestYieldsAndIsRejected checks that, while requests on time need all slots,
// an overdue request attempts few reservations and is refused instead of queued.
func TestOverdueRequestYieldsAndIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := waitForSlot(overloadedFleet, true, 1000, 0)
		require.Zero(t, result.sender.sends)
		require.Len(t, result.caller.refusals, 1)
		refusal := result.caller.refusals[0]
		require.Equal(t, serving.VerdictNotRun, refusal.Verdict)
		require.GreaterOrEqual(t, refusal.RetryAfter, 500*time.Second/700)
		require.Less(t, result.reserveCalls-result.onTimeCalls, 5)
		require.Greater(t, result.onTimeCalls, 15)
		require.InDelta(t, 1200, result.took.Milliseconds(), 150)
		require.Equal(t, 1.0, result.deprioritized)
		require.Equal(t, 1.0, result.rejected)
		require.Contains(t, result.log, "msg=request_behind id=r service=s")
		require.Contains(t, result.log, "msg=request_turned_away id=r service=s fleet_in_time=200 fleet_late=301 fleet_freed=700")
	})
}

// TestBatchItemsPreemptedBeforeRejection checks that a request is not rejected while a
// batch item can be preempted for it.
func TestBatchItemsPreemptedBeforeRejection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		loads := map[string]backend.PeerLoad{"b0": {Online: 4}, "b1": {Online: 4}, "b2": {Online: 3, Batch: 1}, "b3": {Online: 4}}
		result := waitForSlotWithLoads(loads, overloadedFleet, true, 1000, 0)
		require.Equal(t, 1, result.sender.sends)
		require.Equal(t, 1, result.caller.finished)
		require.Equal(t, "b2", result.caller.from)
		require.Zero(t, result.rejected)
	})
}

// TestOverdueRequestUsesFreeCapacity checks that, if no request on time waits, an overdue
// request attempts reservations often and finally queues at a backend.
func TestOverdueRequestUsesFreeCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unordered, result := waitForSlot(freeFleet, false, 1000, 0), waitForSlot(freeFleet, true, 1000, 0)
		require.Greater(t, result.reserveCalls-result.onTimeCalls, 2*(unordered.reserveCalls-unordered.onTimeCalls))
		require.Equal(t, 1, result.sender.sends)
		require.Equal(t, 1, result.caller.finished)
		require.Zero(t, result.rejected)
	})
}

// TestOrdersWaitingDisabled checks that the queue stats of others have no effect when
// OrdersWaiting is false.
func TestOrdersWaitingDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := waitForSlot(overloadedFleet, false, 1000, 0)
		require.Equal(t, 1, result.sender.sends)
		require.Equal(t, 1, result.caller.finished)
		require.Greater(t, result.reserveCalls-result.onTimeCalls, 5)
		require.Zero(t, result.deprioritized+result.rejected)
	})
}

// TestInterruptedStreamIsNotOverdue checks that a resumed stream, for which only the pause
// until the next event counts, is not rejected.
func TestInterruptedStreamIsNotOverdue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		result := waitForSlot(overloadedFleet, true, 40, 2)
		require.Equal(t, 1, result.sender.sends)
		require.Equal(t, 1, result.caller.finished)
		require.Zero(t, result.rejected)
	})
}

// TestRequestThatMayHaveRunIsNotRejected checks that a request that may have run queues at
// a backend, because it cannot be refused as not run.
func TestRequestThatMayHaveRunIsNotRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Kind: route.KindStream, Resumable: true, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s"}}}
		caller := &recorder{}
		sender := &script{draw: []behaviour{breaksBeforeHead}, ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{""}}
		for range 1000 {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.OrdersWaiting = true
		core.Holder.Apply(withReservations(), time.Now())
		core.Backends.SetPeerQueueStats("others", map[string]slotqueue.Stats{"s": overloadedFleet})
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
		require.Equal(t, 2, sender.runs)
		require.Equal(t, 1, caller.finished)
		require.Empty(t, caller.refusals)
	})
}
