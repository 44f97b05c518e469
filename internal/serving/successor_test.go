package serving_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// TestAnswerAfterItsTimeIsNoSuccessor checks that a backend whose answer comes in the moment in which
// the wait for it ends does not take the request over: its attempt is cancelled already.
func TestAnswerAfterItsTimeIsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: 2*eventTimeout + time.Second}}, otherID: {{headAfter: forGood, outrunsCancel: true}},
		}, false)
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		require.Len(t, p.sender.at(otherID), 2, "asked once more, as its last run")
		require.Equal(t, 3*playedPause+2*eventTimeout, p.sender.at(otherID)[0].endedAt)
		require.Equal(t, 3*playedPause+2*eventTimeout+time.Second, p.sender.at(otherID)[1].endedAt)
	})
}

// TestSilentBackendIsReleasedAtTakeover checks that the backend that was left no longer counts as
// loaded, nor its answer as memory in use, while another goes on with the stream.
func TestSilentBackendIsReleasedAtTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: 3, silence: forGood}}}, false)
		online := map[string]int{}
		time.AfterFunc(3*playedPause+eventTimeout+2*playedPause, func() {
			for _, each := range p.core.Backends.Candidates("s", nil, time.Now()) {
				online[each.ID] = each.Online
			}
		})
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
		require.Equal(t, map[string]int{firstID: 0, otherID: 1}, online)
		require.Equal(t, p.sender.at(otherID)[0].headAt, p.sender.at(firstID)[0].closedAt, "the memory of the answer that was left")
	})
}

// TestUnconnectedAttemptIsNoRun checks that an attempt without a connection that another backend
// replaces does not count as a run of the request.
func TestUnconnectedAttemptIsNoRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, "unconnected"), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: time.Second / 2, breaks: true}}, "unconnected": {{unconnected: true}},
			otherID: {{silentAfter: 2, silence: 2 * maxPause, breaks: true}},
		}, false)
		// The search begins four objectives after the attempt without a connection.
		const searchAt = 3*playedPause + time.Second/2 + 4*objective
		time.AfterFunc(searchAt-playedPause, func() { p.core.Backends.Put(playedBackends(otherID)[0]) })
		time.AfterFunc(searchAt-playedPause, func() { p.sender.setFull(firstID, true) })
		time.AfterFunc(searchAt+maxPause, func() { p.core.Backends.Put(playedBackends("third")[0]) })
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, 5), from("third", 6, playedEvents))
		require.Len(t, p.sender.runs(), 3)
	})
}

// TestResponseTimeOfSuccessorCountsFromItsRequest checks that the time to the first event of a backend
// that took a stream over is learned from when the request was sent to it.
func TestResponseTimeOfSuccessorCountsFromItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const headAfter = 700 * time.Millisecond
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: forGood}}, otherID: {{headAfter: headAfter}},
		}, false)
		const learned = 30 // enough response times to learn from
		for range learned {
			p.core.ResponseTimes.Observe("s", responsetimeout.KindFirstEvent, playedPause)
		}
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
		longest := p.core.ResponseTimes.For("s", responsetimeout.KindFirstEvent, time.Hour).Learned
		require.InDelta(t, headAfter+playedPause, longest, float64(headAfter/10))
	})
}

// TestZoneOfSilentBackendIsAskedWhenOthersAreFull checks that a search asks other zones first, and the
// other backends of the silent one's zone if these refuse.
func TestZoneOfSilentBackendIsAskedWhenOthersAreFull(t *testing.T) {
	for _, begun := range []int{0, 3} {
		forEachKind(t, func(t *testing.T, hasReservations bool) {
			p := newPlay(zonedBackends(), map[string][]treatment{firstID: {{silentAfter: begun, silence: forGood}}}, hasReservations)
			p.sender.setFull(farID, true)
			p.serve(t.Context())
			p.requireWhole(t, from(firstID, 1, begun), from(neighbourID, begun+1, playedEvents))
			require.Less(t, p.sender.at(neighbourID)[0].sentAt, 3*playedPause+eventTimeout+maxPause)
		})
	}
}

// neighbourID is a backend in the zone of the first, farID one in another zone.
const (
	neighbourID = "neighbour"
	farID       = "far"
)

// zonedBackends returns the first backend, its neighbour and one in another zone.
func zonedBackends() []backend.Instance {
	instances := playedBackends(firstID, neighbourID, farID)
	for index, zone := range []string{"a", "a", "b"} {
		instances[index].Zone = zone
	}
	return instances
}

// TestZoneOfSilentBackendIsLeftFirst checks that a search asks other zones first.
func TestZoneOfSilentBackendIsLeftFirst(t *testing.T) {
	for range 10 {
		forEachKind(t, func(t *testing.T, hasReservations bool) {
			p := newPlay(zonedBackends(), map[string][]treatment{firstID: {{silentAfter: 3, silence: forGood}}}, hasReservations)
			p.serve(t.Context())
			p.requireWhole(t, from(firstID, 1, 3), from(farID, 4, playedEvents))
		})
	}
}

// TestRefusalBeforeSilenceDoesNotBarTakeover checks that a request without output is taken over by a
// backend that had refused it before the silence and has room now.
func TestRefusalBeforeSilenceDoesNotBarTakeover(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			forEachKind(t, func(t *testing.T, hasReservations bool) {
				p := newPlay(playedBackends(otherID, firstID), map[string][]treatment{firstID: {{silence: forGood}}}, hasReservations)
				p.policy = policy
				p.sender.setFull(otherID, true)
				p.core.Sender = &openingSender{playedSender: p.sender}
				p.serve(t.Context())
				require.Equal(t, 1, p.caller.finished+p.caller.complete)
				require.Equal(t, otherID, p.caller.from+p.caller.wholeFrom)
				require.Equal(t, 1, p.sender.maxAtWork)
				require.Len(t, p.sender.runs(), 2)
			})
		})
	}
}

// openingSender is a playedSender whose other backend has room once the first has got a request.
type openingSender struct{ *playedSender }

func (s *openingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if attempt.Instance.ID == firstID {
		s.setFull(otherID, false)
	}
	return s.playedSender.Send(ctx, attempt)
}

// TestRequestTakenFromSilentBackendWaitsForRoom checks that a request without output whose silent
// attempt was ended for another backend is not given up because that one refuses it for a while.
func TestRequestTakenFromSilentBackendWaitsForRoom(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const fullFor = 4 * time.Second
				p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silence: forGood}}}, false)
				p.policy = policy
				p.sender.setFull(otherID, true)
				time.AfterFunc(fullFor-time.Second, func() { p.sender.setFull(firstID, true) })
				time.AfterFunc(fullFor, func() { p.sender.setFull(otherID, false) })
				p.serve(t.Context())
				require.Equal(t, otherID, p.caller.from+p.caller.wholeFrom)
				require.Equal(t, 1, p.caller.finished+p.caller.complete)
				require.Equal(t, 1, p.sender.maxAtWork)
				require.Less(t, p.took, fullFor+2*maxPause+playedEvents*2*playedPause)
				require.Less(t, len(p.sender.attempts), 40, "probes are paced")
			})
		})
	}
}

// notBegunPolicies returns the routes of requests that may run again.
func notBegunPolicies() map[string]route.Route {
	plain := route.Route{Kind: route.KindRepeatable, Timeout: time.Minute, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}}
	return map[string]route.Route{"plain": plain, "stream": streamPolicy(3)}
}

// TestBreakInTheMomentOfTheSilence checks that an attempt that breaks in the moment in which the search
// begins, which works on a copy of the exchange, ends the search first.
func TestBreakInTheMomentOfTheSilence(t *testing.T) {
	for range 200 {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
				firstID: {{silentAfter: 3, silence: eventTimeout, breaks: true}},
			}, false)
			p.serve(t.Context())
			p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
		})
	}
}
