package serving_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// TestRefusalBeforeSilenceDoesNotBarTakeover checks that a request without output is taken over by a
// backend that had refused it before the silence and has room now. The choice between the two is drawn:
// each route is played until the full backend was asked first often enough.
func TestRefusalBeforeSilenceDoesNotBarTakeover(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			forEachKind(t, func(t *testing.T, hasReservations bool) {
				const refusedFirstWanted = 5
				refusedFirst := 0
				for plays := 0; refusedFirst < refusedFirstWanted; plays++ {
					require.Less(t, plays, 20*refusedFirstWanted)
					if playRefusalBeforeSilence(t, policy, hasReservations) {
						refusedFirst++
					}
				}
			})
		})
	}
}

// playRefusalBeforeSilence plays a request that the other backend refuses until the first, which falls
// silent on it, has got it. It reports whether the request was refused before.
func playRefusalBeforeSilence(t *testing.T, policy route.Route, hasReservations bool) bool {
	p := newPlay(playedBackends(otherID, firstID), map[string][]treatment{firstID: {{silence: forGood}}}, hasReservations)
	p.policy = policy
	p.sender.setFull(otherID, true)
	opening := &openingSender{playedSender: p.sender}
	p.core.Sender = opening
	p.serve(t.Context())
	require.Equal(t, 1, p.caller.finished+p.caller.complete)
	require.Equal(t, otherID, p.caller.from+p.caller.wholeFrom)
	requireBesideBriefly(t, p, hasReservations && policy.Kind == route.KindStream)
	require.Len(t, p.sender.runs(), 2)
	require.Equal(t, p.sender.runs()[0].endedAt, p.sender.runs()[1].sentAt, "sent in the moment of the takeover")
	return opening.refusals > 0
}

// openingSender is a playedSender whose other backends have room once the first has got a request.
type openingSender struct {
	*playedSender
	// refusals is how often the request was refused before the first backend got it.
	refusals int
}

func (s *openingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if attempt.Instance.ID == firstID {
		refusedReservations := len(s.probedAt) - len(s.reservedAt)
		s.refusals = refusedReservations + len(s.attempts)
		s.setFull(otherID, false)
		s.setFull("third", false)
	}
	return s.playedSender.Send(ctx, attempt)
}

// TestRefusalBeforeSilenceDoesNotBarRetry checks that a request whose successor breaks is sent at once
// to a backend that had refused it before the silence and has room now. The order in which backends are
// asked is drawn: each route is played often.
func TestRefusalBeforeSilenceDoesNotBarRetry(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			for range 30 {
				synctest.Test(t, func(t *testing.T) {
					breaks := []treatment{{silence: playedPause, breaks: true}}
					p := newPlay(playedBackends("third", firstID, otherID), map[string][]treatment{
						firstID: {{silence: forGood}}, otherID: breaks, "third": breaks,
					}, false)
					p.policy = policy
					p.sender.setFull(otherID, true)
					p.sender.setFull("third", true)
					p.core.Sender = &openingSender{playedSender: p.sender}
					p.serve(t.Context())
					require.Len(t, p.sender.runs(), 3)
					require.Equal(t, p.sender.runs()[1].endedAt, p.sender.runs()[2].sentAt, "sent in the moment of the break")
				})
			}
		})
	}
}

// TestSilentRequestStaysWhileOthersRefuse checks that a request without output stays at a silent backend
// until another one has room, and that the others are asked at a pace.
func TestSilentRequestStaysWhileOthersRefuse(t *testing.T) {
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
				requireBesideBriefly(t, p, false)
				require.GreaterOrEqual(t, p.sender.at(firstID)[0].endedAt, fullFor)
				require.Less(t, p.took, fullFor+2*maxPause+playedEvents*2*playedPause)
				require.Less(t, len(p.sender.attempts), 40, "probes are paced")
			})
		})
	}
}

// TestRequestTakenFromSilentBackendWaitsForRoom checks that a request without output that another
// backend took from a silent one, and broke, is not given up because all refuse it for a while.
func TestRequestTakenFromSilentBackendWaitsForRoom(t *testing.T) {
	for name, policy := range notBegunPolicies() {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const fullFrom, fullFor = 4*objective + objective/2, 4 * time.Second
				p := newPlay(playedBackends(firstID, otherID), map[string][]treatment{
					firstID: {{silence: forGood}}, otherID: {{silence: objective, breaks: true}, {}},
				}, false)
				p.policy = policy
				time.AfterFunc(fullFrom, func() {
					p.sender.setFull(firstID, true)
					p.sender.setFull(otherID, true)
				})
				time.AfterFunc(fullFor, func() { p.sender.setFull(otherID, false) })
				p.serve(t.Context())
				require.Equal(t, otherID, p.caller.from+p.caller.wholeFrom)
				require.Equal(t, 1, p.caller.finished+p.caller.complete)
				require.Len(t, p.sender.runs(), 3)
				requireBesideBriefly(t, p, false)
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
