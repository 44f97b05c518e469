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

// crowded is a fleet that wants all places for requests that can be in time, and roomy
// one where places come free and late requests alone wait.
var (
	crowded = slotqueue.Stats{OnTime: 200, Overdue: 300, FreedSlots: 700}
	roomy   = slotqueue.Stats{Overdue: 5, FreedSlots: 700}
)

// waits is how one request waited for a place at backends that have none.
type waits struct {
	caller             *recorder
	sender             *script
	asked, askedInTime int
	took               time.Duration
	log                string
	behind, turnedAway float64
}

// awaitPlace has a request wait while the fleet waits for other places, too.
func awaitPlace(fleet slotqueue.Stats, inOrder bool, refused int, lastEvent int64) waits {
	return awaitPlaceBeside(nil, fleet, inOrder, refused, lastEvent)
}

// awaitPlaceBeside does so while other daemons have work at the backends.
func awaitPlaceBeside(work map[string]backend.PeerLoad, fleet slotqueue.Stats, inOrder bool, refused int, lastEvent int64) waits {
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
	core.OrdersWaiting = inOrder
	core.Holder.Apply(withPlaces(), time.Now())
	core.Backends.SetPeerQueueStats("others", map[string]slotqueue.Stats{"s": fleet})
	core.Backends.SetPeerLoads("others", work, 0)
	now := time.Now()
	found := waits{caller: caller, sender: sender}
	go func() {
		time.Sleep(policy.Objective)
		sender.mutex.Lock()
		defer sender.mutex.Unlock()
		found.askedInTime = sender.asked
	}()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, LastEvent: lastEvent, Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
	sender.mutex.Lock()
	defer sender.mutex.Unlock()
	found.took, found.asked, found.log = time.Since(now), sender.asked, log.String()
	found.behind, found.turnedAway = counted(registry, "behind"), counted(registry, "turned_away")
	return found
}

// counted returns a counter with one label value, by a part of its name; 0 if it has not
// counted.
func counted(registry *prometheus.Registry, name string) float64 {
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

// TestLateRequestMakesWay: while requests in time want all places, a late one asks
// hardly ever, and in the end its caller is told that it did not run and when to come
// back; it does not stand in the queue of a backend, before those in time.
func TestLateRequestMakesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := awaitPlace(crowded, true, 1000, 0)
		require.Zero(t, found.sender.sends)
		require.Len(t, found.caller.refusals, 1)
		refusal := found.caller.refusals[0]
		require.Equal(t, serving.VerdictNotRun, refusal.Verdict)
		require.GreaterOrEqual(t, refusal.RetryAfter, 500*time.Second/700)
		require.Less(t, found.asked-found.askedInTime, 5)
		require.Greater(t, found.askedInTime, 15)
		require.InDelta(t, 1200, found.took.Milliseconds(), 150)
		require.Equal(t, 1.0, found.behind)
		require.Equal(t, 1.0, found.turnedAway)
		require.Contains(t, found.log, "msg=request_behind id=r service=s")
		require.Contains(t, found.log, "msg=request_turned_away id=r service=s fleet_in_time=200 fleet_late=301 fleet_freed=700")
	})
}

// TestBatchItemsGiveWayBeforeAnyoneIsTurnedAway: while items are known to run, a request
// that has waited for long takes the place of one.
func TestBatchItemsGiveWayBeforeAnyoneIsTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		full := map[string]backend.PeerLoad{"b0": {Online: 4}, "b1": {Online: 4}, "b2": {Online: 3, Batch: 1}, "b3": {Online: 4}}
		found := awaitPlaceBeside(full, crowded, true, 1000, 0)
		require.Equal(t, 1, found.sender.sends)
		require.Equal(t, 1, found.caller.finished)
		require.Equal(t, "b2", found.caller.from)
		require.Zero(t, found.turnedAway)
	})
}

// TestLateRequestTakesRoomThatIsLeft: it asks as often as places come free when nobody
// in time waits, and queues at a backend in the end as ever.
func TestLateRequestTakesRoomThatIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone, found := awaitPlace(roomy, false, 1000, 0), awaitPlace(roomy, true, 1000, 0)
		require.Greater(t, found.asked-found.askedInTime, 2*(alone.asked-alone.askedInTime))
		require.Equal(t, 1, found.sender.sends)
		require.Equal(t, 1, found.caller.finished)
		require.Zero(t, found.turnedAway)
	})
}

// TestOrderIsOffWhereItIsSwitchedOff: what others tell changes nothing.
func TestOrderIsOffWhereItIsSwitchedOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := awaitPlace(crowded, false, 1000, 0)
		require.Equal(t, 1, found.sender.sends)
		require.Equal(t, 1, found.caller.finished)
		require.Greater(t, found.asked-found.askedInTime, 5)
		require.Zero(t, found.behind+found.turnedAway)
	})
}

// TestInterruptedStreamIsNotLate: what counts for a caller that has a part of its stream
// is the pause until the next event; it is neither behind others nor turned away.
func TestInterruptedStreamIsNotLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		found := awaitPlace(crowded, true, 40, 2)
		require.Equal(t, 1, found.sender.sends)
		require.Equal(t, 1, found.caller.finished)
		require.Zero(t, found.turnedAway)
	})
}

// TestRequestThatMayHaveRunIsNotTurnedAway: its caller could not be told that it has not
// run; it queues in the end, as ever.
func TestRequestThatMayHaveRunIsNotTurnedAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Kind: route.KindStream, Resumable: true, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 2, Targets: []route.Target{{Service: "s"}}}
		caller := &recorder{}
		sender := &script{draw: []behaviour{breaksBeforeHead}, ran: map[string]bool{}, lastSeen: caller, refusals: []serving.Reason{""}}
		for range 1000 {
			sender.refusals = append(sender.refusals, serving.ReasonRefused)
		}
		core := newCore(sender)
		core.OrdersWaiting = true
		core.Holder.Apply(withPlaces(), time.Now())
		core.Backends.SetPeerQueueStats("others", map[string]slotqueue.Stats{"s": crowded})
		now := time.Now()
		core.Serve(context.Background(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: now, Deadline: now.Add(5 * time.Second)}, caller)
		require.Equal(t, 2, sender.runs)
		require.Equal(t, 1, caller.finished)
		require.Empty(t, caller.refusals)
	})
}
