package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// TestSilentSuccessorIsReplaced checks that a backend that took a stream over without an answer and
// stays silent is left for a third one, and that the runs stay within the route's maximum.
func TestSilentSuccessorIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: forGood}}, otherID: {{headAfter: forGood}},
		}, false)
		time.AfterFunc(3*playedPause+eventTimeout+acceptanceTime+playedPause, func() { p.core.Backends.Put(playedBackends("third")[0]) })
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 3), from("third", 4, playedEvents))
		require.Len(t, p.sender.runs(), 3)
		require.Equal(t, 3*playedPause+eventTimeout+acceptanceTime, p.sender.at(firstID)[0].endedAt)
		require.True(t, p.sender.at(otherID)[0].cancelled)
	})
}

// TestSilentBackendIsNoSuccessorOfItself checks that a request is not sent once more to the backend at
// which it is silent.
func TestSilentBackendIsNoSuccessorOfItself(t *testing.T) {
	forEachKind(t, func(t *testing.T, hasReservations bool) {
		p := newPlay(playedBackends(firstID), map[string][]treatment{firstID: {{silentAfter: 3, silence: 2500 * time.Millisecond}}}, hasReservations)
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		require.Len(t, p.sender.runs(), 1)
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

// spendRetries serves requests that are refused until neither of the next two has a retry.
func (p *play) spendRetries(t *testing.T) {
	t.Helper()
	p.sender.setFull(firstID, true)
	policy := route.Route{Kind: route.KindOnce, Timeout: time.Minute, Objective: objective, MaxAttempts: 3, Targets: []route.Target{{Service: "s", Weight: 1}}}
	const requests = 200 // more than are needed to spend the reserve
	for number, isSpent := 0, false; number < requests || !isSpent; number++ {
		require.Less(t, number, 2*requests)
		p.sender.attempts = nil
		caller, refused := &recorder{}, p.request()
		refused.Route = &policy
		p.core.Serve(t.Context(), refused, caller)
		require.Len(t, caller.refusals, 1)
		// One that had exactly one retry leaves none.
		isSpent = len(p.sender.attempts) == 2 && caller.refusals[0].Code == string(serving.ReasonBudget)
	}
	p.sender.setFull(firstID, false)
	p.sender.attempts, p.sender.probedAt = nil, nil
}

// TestSilentRequestWithoutRetriesKeepsWaiting checks that a request without output is neither sent
// elsewhere nor given up if no retry is left, but waits for its silent backend.
func TestSilentRequestWithoutRetriesKeepsWaiting(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			forEachKind(t, func(t *testing.T, hasReservations bool) {
				const silence = 6 * time.Second
				p := newPlay(playedBackends(firstID), map[string][]treatment{firstID: {{silence: silence}}}, false)
				p.spendRetries(t)
				if hasReservations {
					p.core.Holder.Apply(withReservations(), time.Now())
				}
				time.AfterFunc(joinTime, func() { p.core.Backends.Put(playedBackends(otherID)[0]) })
				p.policy = policy
				p.serve(t.Context())
				require.Equal(t, firstID, p.caller.from+p.caller.wholeFrom)
				require.Equal(t, 1, p.caller.finished+p.caller.complete)
				require.Len(t, p.sender.runs(), 1)
				require.GreaterOrEqual(t, p.took, silence)
			})
		})
	}
}

// TestSilentRequestPaysOneRetry checks that a search spends one retry, however long it lasts.
func TestSilentRequestPaysOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silence: 6 * time.Second}}}, true)
		p.sender.setFull(otherID, true)
		log := &strings.Builder{}
		p.core.Logger = slog.New(slog.NewTextHandler(log, nil))
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		require.Greater(t, len(p.sender.probedAt), 10)
		require.Contains(t, log.String(), "msg=successor_search_ended id=r backend=first outcome=ended")
		require.Contains(t, log.String(), "retries_left=99")
	})
}

// TestEjectedBackendsAreNoSuccessors checks that a silent attempt is not ended for a backend that is
// ejected, and that it is ended for one whose ejection is over.
func TestEjectedBackendsAreNoSuccessors(t *testing.T) {
	policies := notBegunPolicies()
	for name, begun := range map[string]int{"plain": 0, "stream": 0, "begun": 3} {
		for _, ejectedFor := range []time.Duration{3 * time.Second, playedTimeout} {
			t.Run(fmt.Sprint(name, " ", ejectedFor), func(t *testing.T) {
				forEachKind(t, func(t *testing.T, hasReservations bool) {
					const silence = 6 * time.Second
					p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: begun, silence: silence}}}, hasReservations)
					if name == "plain" {
						p.policy = policies[name]
					}
					time.AfterFunc(joinTime+time.Millisecond, func() {
						const ejection = time.Second // the first of a backend
						p.core.Backends.Unreachable(backend.Incarnation{ID: otherID}, p.sender.started.Add(ejectedFor-ejection))
					})
					p.serve(t.Context())
					require.Equal(t, 1, p.caller.finished+p.caller.complete)
					for _, each := range p.sender.at(otherID) {
						require.GreaterOrEqual(t, each.sentAt, ejectedFor)
					}
					if ejectedFor > silence {
						require.Len(t, p.sender.runs(), 1)
					}
				})
			})
		}
	}
}

// silentStreams is the number of streams that fall silent at once.
const silentStreams = 200

// TestManySearchesAreBounded checks that hundreds of streams that fall silent at once, while all other
// backends are full, ask these a bounded number of times a second: each at most eight times in the
// first second and four times in each further one, on average, and first after 20 ms.
func TestManySearchesAreBounded(t *testing.T) {
	forEachKind(t, func(t *testing.T, hasReservations bool) {
		others := []string{"o0", "o1", "o2"}
		p := newPlay(playedBackends(append([]string{firstID}, others...)...), map[string][]treatment{firstID: {{silentAfter: 3, silence: forGood}}}, hasReservations)
		for _, id := range others {
			p.sender.setFull(id, true)
		}
		var callers sync.WaitGroup
		for range silentStreams {
			callers.Go(func() { p.core.Serve(t.Context(), p.request(), &playedCaller{}) })
		}
		callers.Wait()
		const noticedAt = 3*playedPause + eventTimeout
		perSecond := map[int]int{}
		for _, at := range p.sender.probedAt {
			if at >= noticedAt {
				perSecond[int((at-noticedAt)/time.Second)]++
			}
		}
		for _, each := range p.sender.attempts {
			if each.refused {
				perSecond[int((each.sentAt-noticedAt)/time.Second)]++
			}
		}
		require.LessOrEqual(t, perSecond[0], 8*silentStreams)
		for second := 1; second < int((playedTimeout-noticedAt)/time.Second); second++ {
			require.LessOrEqual(t, perSecond[second], 4*silentStreams, "second %d", second)
			require.GreaterOrEqual(t, perSecond[second], 2*silentStreams, "the search stopped in second %d", second)
		}
	})
}

// TestSearchPausesAreBounded checks the pauses between the probes of one search.
func TestSearchPausesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const minPause = 40 * time.Millisecond
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silence: forGood}}}, true)
		p.sender.setFull(otherID, true)
		p.serve(t.Context())
		probes := p.sender.probedAt[1:] // without the reservation at the first
		for index := 1; index < len(probes); index++ {
			pause := min(minPause<<min(index-1, 10), maxPause)
			require.GreaterOrEqual(t, probes[index]-probes[index-1], pause/2, "pause %d", index)
			require.LessOrEqual(t, probes[index]-probes[index-1], pause*3/2, "pause %d", index)
		}
		require.Greater(t, len(probes), 15)
	})
}

// quarantineRequest quarantines the requests of plays.
func quarantineRequest(guard *quarantine.Guard) {
	fingerprint := quarantine.FingerprintOf("POST", "/played", "", nil)
	for number := range quarantinePolicy.Crashes {
		guard.Crashed(fmt.Sprint("crashed ", number), []quarantine.Run{{Fingerprint: fingerprint}})
	}
}

// TestQuarantinedRequestStaysAtSilentBackend checks that a request that is quarantined while it is
// silent is sent to no other backend, and that its silent attempt is not ended.
func TestQuarantinedRequestStaysAtSilentBackend(t *testing.T) {
	for _, begun := range []int{0, 3} {
		for name, quarantinedAt := range map[string]time.Duration{"before the search": joinTime, "during the search": 3 * time.Second} {
			t.Run(fmt.Sprint(name, " ", begun), func(t *testing.T) {
				forEachKind(t, func(t *testing.T, hasReservations bool) {
					const silence = 6 * time.Second
					p := newPlay(playedBackends(firstID), map[string][]treatment{firstID: {{silentAfter: begun, silence: silence}}}, hasReservations)
					p.core.Quarantine = newGuard()
					time.AfterFunc(quarantinedAt, func() {
						quarantineRequest(p.core.Quarantine)
						p.core.Backends.Put(playedBackends(otherID)[0])
					})
					p.serve(t.Context())
					p.requireWhole(t, from(firstID, 1, playedEvents))
					require.Len(t, p.sender.runs(), 1)
				})
			})
		}
	}
}

// TestSuspensionDuringSearch checks that a request ends at its deadline by a clock that includes a
// suspension of the machine during the search, that nothing is sent after it, and that a request with
// time left goes on.
func TestSuspensionDuringSearch(t *testing.T) {
	const suspendedAt = 3 * time.Second
	for span, awakeTime := range map[time.Duration]time.Duration{time.Second: playedTimeout - time.Second, time.Minute: suspendedAt} {
		t.Run(span.String(), func(t *testing.T) {
			forEachKind(t, func(t *testing.T, hasReservations bool) {
				p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: 3, silence: forGood}}}, hasReservations)
				suspended := &machine{started: time.Now()}
				p.core.Clock = suspended.now
				p.core.Wakeups = boottime.NewWakeups(suspended.now, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				go p.core.Wakeups.Run(ctx)
				p.sender.setFull(otherID, true)
				time.AfterFunc(suspendedAt, func() { suspended.suspend(span) })
				p.serve(t.Context())
				cancel()
				synctest.Wait()
				require.Equal(t, 1, p.caller.aborted)
				require.InDelta(t, awakeTime, p.took, float64(500*time.Millisecond))
				for _, each := range p.sender.attempts {
					require.LessOrEqual(t, each.sentAt, p.took)
					require.LessOrEqual(t, each.endedAt, p.took)
				}
			})
		})
	}
}

// TestAttemptBesideOutlivesBreak checks that a backend that was asked beside a silent one takes the
// stream over if the silent one breaks before it answers.
func TestAttemptBesideOutlivesBreak(t *testing.T) {
	for attempts := 2; attempts <= 3; attempts++ {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
				firstID: {{silentAfter: 3, silence: eventTimeout + 200*time.Millisecond, breaks: true}}, otherID: {{headAfter: 700 * time.Millisecond}},
			}, false)
			p.policy.MaxAttempts = attempts
			p.serve(t.Context())
			p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
			require.Len(t, p.sender.runs(), 2)
		})
	}
}
