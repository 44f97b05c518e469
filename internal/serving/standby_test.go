package serving_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// TestOutputEndsSearch checks that output of a silent backend ends the search: the attempt beside is
// cancelled at once and gives the caller nothing.
func TestOutputEndsSearch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = eventTimeout + acceptanceTime/2
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: silence}}, otherID: {{headAfter: forGood}},
		}, false)
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		beside := p.sender.at(otherID)
		require.Len(t, beside, 1)
		require.Equal(t, int64(3), beside[0].after)
		require.True(t, beside[0].cancelled)
		require.Equal(t, 3*playedPause+silence, beside[0].endedAt, "the attempt beside ends with the silence")
	})
}

// TestAnswerBesideLosesToOutput checks that an attempt beside that is answered in the moment in which
// the silent backend goes on gives the caller nothing, and that its run counts.
func TestAnswerBesideLosesToOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const silence = eventTimeout + acceptanceTime/2
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: silence}}, otherID: {{headAfter: forGood, outrunsCancel: true}},
		}, false)
		p.policy.MaxAttempts = 2
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		require.Len(t, p.sender.at(otherID), 1)
		require.True(t, p.sender.at(otherID)[0].cancelled)
	})
}

// TestRunsOfSearchesCount checks that all runs of a request, those beside silent ones included, stay
// within the route's maximum, however often its backend falls silent.
func TestRunsOfSearchesCount(t *testing.T) {
	for name, beside := range map[string]treatment{
		"not answered": {headAfter: forGood}, "answered too late": {headAfter: forGood, outrunsCancel: true},
	} {
		for attempts := 1; attempts <= 4; attempts++ {
			t.Run(fmt.Sprint(name, " ", attempts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					p := newPlay(playedBackends(firstID, otherID, "third"), map[string][]treatment{otherID: {beside}, "third": {beside}}, false)
					p.policy.MaxAttempts = attempts
					stutter := &stutteringSender{playedSender: p.sender, silence: 1600 * time.Millisecond}
					p.core.Sender = stutter
					p.serve(t.Context())
					p.requireWhole(t, from(firstID, 1, playedEvents))
					require.Len(t, p.sender.runs(), attempts, "runs")
				})
			})
		}
	}
}

// TestAnswerAndOutputInOneMoment checks that exactly one of two runs goes on when the silent one gives
// output in the moment in which the other is answered, and that both count.
func TestAnswerAndOutputInOneMoment(t *testing.T) {
	for range 100 {
		synctest.Test(t, func(t *testing.T) {
			const headAfter = acceptanceTime / 2
			p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{otherID: {{headAfter: headAfter}}}, false)
			p.policy.MaxAttempts = 2
			p.core.Sender = &stutteringSender{playedSender: p.sender, silence: eventTimeout + headAfter - playedPause}
			p.serve(t.Context())
			require.Equal(t, 1, p.caller.finished)
			require.Len(t, p.caller.events, playedEvents)
			require.Len(t, p.sender.runs(), 2)
			for _, each := range p.sender.runs() {
				require.NotEqual(t, each.whole, each.cancelled, each.backend)
			}
		})
	}
}

// stutteringSender is a playedSender whose first backend is silent before each of four events.
type stutteringSender struct {
	*playedSender
	silence time.Duration
}

func (s *stutteringSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	answer, err := s.playedSender.Send(ctx, attempt)
	if err != nil || attempt.Instance.ID != firstID {
		return answer, err
	}
	return &stutteringAnswer{playedAnswer: answer.(*playedAnswer), silence: s.silence}, nil
}

type stutteringAnswer struct {
	*playedAnswer
	silence time.Duration
}

func (a *stutteringAnswer) Next() (serving.Event, serving.Ending, error) {
	const silences = 4
	if a.attempt.events > 0 && a.attempt.events <= silences {
		if err := a.wait(a.silence); err != nil {
			return serving.Event{}, serving.EndingBroken, err
		}
	}
	return a.playedAnswer.Next()
}

// TestReservedSuccessorIsNeverBeside checks that a reservation is made elsewhere before a silent
// attempt is cancelled, and that the request is sent there only after that.
func TestReservedSuccessorIsNeverBeside(t *testing.T) {
	for name, begun := range map[string]int{"not begun": 0, "begun": 3} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// The first two probes find it full.
				fullFor := 4*objective + 55*time.Millisecond
				if begun > 0 {
					fullFor = time.Duration(begun)*playedPause + eventTimeout + 55*time.Millisecond
				}
				p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: begun, silence: forGood}}}, true)
				p.sender.setFull(otherID, true)
				time.AfterFunc(fullFor, func() { p.sender.setFull(otherID, false) })
				p.serve(t.Context())
				p.requireWhole(t, from(firstID, 1, begun), from(otherID, begun+1, playedEvents))
				silent, taken := p.sender.at(firstID)[0], p.sender.at(otherID)[0]
				require.Len(t, p.sender.reservedAt, 2)
				require.Equal(t, "place at "+otherID, taken.reservation)
				require.Equal(t, 1, p.sender.maxAtWork, "two at work")
				require.GreaterOrEqual(t, p.sender.reservedAt[1], fullFor)
				require.GreaterOrEqual(t, silent.endedAt, p.sender.reservedAt[1])
				require.GreaterOrEqual(t, taken.sentAt, silent.endedAt)
				require.Less(t, taken.sentAt, fullFor+4*maxPause)
			})
		})
	}
}

// TestBegunStreamIsTakenOver checks that, without reservations, a silent attempt is cancelled when
// another backend answers or has not refused the request for acceptanceTime, not earlier, and that the
// stream continues with the next event.
func TestBegunStreamIsTakenOver(t *testing.T) {
	for headAfter, takenAfter := range map[time.Duration]time.Duration{
		acceptanceTime / 2: acceptanceTime / 2, 700 * time.Millisecond: acceptanceTime,
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
				firstID: {{silentAfter: 3, silence: forGood}}, otherID: {{headAfter: headAfter}},
			}, false)
			p.serve(t.Context())
			p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
			silent, taken := p.sender.at(firstID)[0], p.sender.at(otherID)[0]
			require.Equal(t, 3*playedPause+eventTimeout, taken.sentAt)
			require.Equal(t, taken.sentAt+headAfter, taken.headAt)
			require.Equal(t, taken.sentAt+takenAfter, silent.endedAt)
		})
	}
}

// TestEventAfterTakeoverIsNotPassed checks that an event of a silent attempt that was on its way when
// another backend took the request over does not reach the caller.
func TestEventAfterTakeoverIsNotPassed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: forGood, outrunsCancel: true}},
		}, false)
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 3), from(otherID, 4, playedEvents))
		require.Equal(t, 1, p.sender.at(firstID)[0].lateEvents, "the old run sent its fourth event")
	})
}

// TestSecondSilenceIsTakenOverToo checks that a backend that took a stream over is watched like the
// first.
func TestSecondSilenceIsTakenOverToo(t *testing.T) {
	forEachKind(t, func(t *testing.T, hasReservations bool) {
		p := newPlay(playedBackends(firstID), map[string][]treatment{
			firstID: {{silentAfter: 2, silence: forGood}}, otherID: {{silentAfter: 2, silence: forGood}},
		}, hasReservations)
		time.AfterFunc(joinTime, func() { p.core.Backends.Put(playedBackends(otherID)[0]) })
		time.AfterFunc(2*time.Second, func() { p.core.Backends.Put(playedBackends("third")[0]) })
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, 2), from(otherID, 3, 4), from("third", 5, playedEvents))
		require.Len(t, p.sender.runs(), 3)
		for _, each := range p.sender.runs()[:2] {
			require.True(t, each.cancelled)
			require.Less(t, each.endedAt, p.sender.at("third")[0].headAt+time.Millisecond)
		}
	})
}

// TestLastRunIsWaitedFor checks that the last run that the route allows is not left for a successor.
func TestLastRunIsWaitedFor(t *testing.T) {
	for attempts := 1; attempts <= 2; attempts++ {
		forEachKind(t, func(t *testing.T, hasReservations bool) {
			silences := map[string][]treatment{firstID: {{silentAfter: 3, silence: 5 * time.Second}}, otherID: {{silentAfter: 1, silence: 4 * time.Second}}}
			p := newPlay(playedBackends(firstID, otherID, "third"), silences, hasReservations)
			p.sender.setFull("third", true)
			time.AfterFunc(3*time.Second, func() { p.sender.setFull("third", false) })
			p.policy.MaxAttempts = attempts
			p.serve(t.Context())
			require.Equal(t, 1, p.caller.finished)
			require.Len(t, p.caller.events, playedEvents)
			require.Len(t, p.sender.runs(), attempts)
			require.True(t, p.sender.runs()[attempts-1].whole, "the last run was left")
		})
	}
}

// TestLastSilentRunLastsUntilDeadline checks that a run that nothing may replace is at work until the
// request's time is over, and not longer.
func TestLastSilentRunLastsUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: 3, silence: forGood}}}, false)
		p.policy.MaxAttempts = 1
		p.serve(t.Context())
		require.Equal(t, 1, p.caller.aborted)
		require.Equal(t, playedTimeout, p.took)
		require.Equal(t, playedTimeout, p.sender.runs()[0].endedAt)
		require.Len(t, p.sender.runs(), 1)
	})
}

// TestRequestThatMayRunOnceIsNotLeft checks that a silent run that must not be repeated is waited for.
func TestRequestThatMayRunOnceIsNotLeft(t *testing.T) {
	for name, policy := range map[string]route.Route{
		"plain":  {Kind: route.KindOnce, Timeout: time.Minute, Objective: objective, MaxAttempts: 3},
		"stream": {Kind: route.KindStream, Timeout: time.Minute, Objective: objective, MaxAttempts: 3},
	} {
		for begun := range 2 {
			t.Run(fmt.Sprint(name, " ", begun), func(t *testing.T) {
				forEachKind(t, func(t *testing.T, hasReservations bool) {
					p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: begun, silence: 6 * time.Second}}}, hasReservations)
					p.policy = policy
					p.policy.Targets = []route.Target{{Service: "s", Weight: 1}}
					p.serve(t.Context())
					require.Equal(t, 1, p.caller.finished+p.caller.complete)
					require.Len(t, p.sender.runs(), 1)
				})
			})
		}
	}
}

// TestCallerLeavesDuringSearch checks that everything is cancelled in the moment in which the caller
// leaves, and that nothing is sent after it.
func TestCallerLeavesDuringSearch(t *testing.T) {
	forEachKind(t, func(t *testing.T, hasReservations bool) {
		const leavesAt = 4 * time.Second
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: forGood}}, otherID: {{headAfter: forGood}},
		}, hasReservations)
		p.sender.setFull(otherID, true)
		time.AfterFunc(leavesAt-time.Second, func() { p.sender.setFull(otherID, false) })
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(leavesAt, cancel)
		p.serve(ctx)
		require.Equal(t, leavesAt, p.took)
		require.Equal(t, 1, p.caller.aborted)
		sent := len(p.sender.attempts)
		for _, each := range p.sender.runs() {
			require.LessOrEqual(t, each.endedAt, leavesAt, "%s at work after the caller left", each.backend)
			require.True(t, each.cancelled)
		}
		time.Sleep(time.Minute)
		require.Len(t, p.sender.attempts, sent)
	})
}

// TestDeadlinePassesDuringSearch checks that a request whose silent backend does not go on and for
// which there is no other ends at its deadline, with nothing at work.
func TestDeadlinePassesDuringSearch(t *testing.T) {
	forEachKind(t, func(t *testing.T, hasReservations bool) {
		for begun := 0; begun <= 3; begun += 3 {
			p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: begun, silence: forGood}}}, hasReservations)
			p.sender.setFull(otherID, true)
			if !hasReservations && begun == 0 {
				p.core.Backends.Remove(otherID)
				p.sender.treatments[otherID] = []treatment{{silence: forGood}}
				p.sender.setFull(otherID, false)
			}
			p.serve(t.Context())
			require.InDelta(t, playedTimeout, p.took, float64(10*time.Millisecond))
			require.Equal(t, 1, p.caller.aborted+len(p.caller.refusals))
			for _, refusal := range p.caller.refusals {
				require.Equal(t, serving.VerdictTimeout, refusal.Verdict)
			}
			for _, each := range p.sender.runs() {
				require.LessOrEqual(t, each.endedAt, p.sender.now())
				require.NotZero(t, each.endedAt)
			}
		}
	})
}

// TestCallerLeavesAfterTakeover checks that a backend that took a stream over beside a silent one is
// cancelled in the moment in which the caller leaves.
func TestCallerLeavesAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leavesAt = 4 * time.Second
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
			firstID: {{silentAfter: 3, silence: forGood}}, otherID: {{silentAfter: 1, silence: forGood}},
		}, false)
		p.policy.MaxAttempts = 2
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(leavesAt, cancel)
		p.serve(ctx)
		require.Equal(t, leavesAt, p.took)
		require.Equal(t, leavesAt, p.sender.at(otherID)[0].endedAt)
		require.Len(t, p.caller.events, 4)
	})
}

// lateReserver is a playedSender whose reservations, but for the first, come late and despite the end
// of the search.
type lateReserver struct {
	*playedSender
	calls int
}

func (s *lateReserver) Reserve(ctx context.Context, wanted serving.ReservationRequest) (string, error) {
	s.calls++
	if s.calls > 1 {
		time.Sleep(2 * playedPause)
	}
	return s.playedSender.Reserve(ctx, wanted)
}

// TestReservationAfterOutputIsNotUsed checks that a silent attempt that gives output while a reservation
// is being made elsewhere goes on.
func TestReservationAfterOutputIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{firstID: {{silentAfter: 3, silence: eventTimeout + playedPause}}}, true)
		p.core.Sender = &lateReserver{playedSender: p.sender}
		p.serve(t.Context())
		p.requireWhole(t, from(firstID, 1, playedEvents))
		require.Len(t, p.sender.runs(), 1)
	})
}
