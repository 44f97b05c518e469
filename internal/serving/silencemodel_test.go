package serving_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
)

// drawTreatment draws how a backend treats an attempt.
func drawTreatment(t *rapid.T) treatment {
	how := treatment{headAfter: time.Duration(rapid.SampledFrom([]int{0, 0, 30, 700, 1600}).Draw(t, "head after")) * time.Millisecond}
	switch rapid.SampledFrom([]string{"answers", "refuses", "breaks", "silent", "silent"}).Draw(t, "kind") {
	case "refuses":
		how.refuses = true
	case "breaks":
		how.silentAfter, how.silence, how.breaks = rapid.IntRange(0, playedEvents).Draw(t, "after"), playedPause, true
	case "silent":
		how.silentAfter = rapid.IntRange(0, playedEvents).Draw(t, "after")
		how.silence = time.Duration(rapid.SampledFrom([]int{100, 900, 1499, 1500, 1700, 2400, 5000, 60000}).Draw(t, "silence")) * time.Millisecond
		how.breaks = rapid.Bool().Draw(t, "breaks at last")
	}
	how.outrunsCancel = rapid.IntRange(0, 9).Draw(t, "outruns cancel") == 0
	return how
}

// drawPlay draws a request, its backends and how they treat it.
func drawPlay(t *rapid.T) (instances []backend.Instance, treatments map[string][]treatment, policy route.Route, hasReservations bool) {
	instances = playedBackends([]string{firstID, otherID, "third", "fourth"}[:rapid.IntRange(1, 4).Draw(t, "backends")]...)
	treatments = map[string][]treatment{}
	for index := range instances {
		instances[index].Zone = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone")
		treatments[instances[index].ID] = rapid.SliceOfN(rapid.Custom(drawTreatment), 1, 3).Draw(t, instances[index].ID)
	}
	policy = streamPolicy(rapid.IntRange(1, 4).Draw(t, "max attempts"))
	policy.Kind = rapid.SampledFrom([]route.Kind{route.KindStream, route.KindStream, route.KindRepeatable, route.KindOnce}).Draw(t, "route")
	policy.Resumable = rapid.IntRange(0, 3).Draw(t, "not resumable") > 0
	return instances, treatments, policy, rapid.Bool().Draw(t, "reservations")
}

// TestSilencesOverRandomBackends checks, over random silences, refusals and breaks, that a request
// gets exactly one final answer, its events in order, and no more runs than allowed; that a run is
// ended before the request's time only if another took its place; and that the request is given up
// only when none is at work.
func TestSilencesOverRandomBackends(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		instances, treatments, policy, hasReservations := drawPlay(r)
		full := map[string]time.Duration{}
		for _, each := range instances {
			full[each.ID] = time.Duration(rapid.SampledFrom([]int{0, 0, 1000, 3000}).Draw(r, "full until")) * time.Millisecond
		}
		var p *play
		synctest.Test(t, func(t *testing.T) {
			p = newPlay(instances, treatments, hasReservations)
			p.policy = policy
			for id, until := range full {
				p.sender.setFull(id, until > 0)
				time.AfterFunc(until, func() { p.sender.setFull(id, false) })
			}
			p.serve(t.Context())
		})
		requireOneAnswer(r, p)
		isReserved := hasReservations && policy.Kind == route.KindStream
		requireBesideBriefly(r, p, isReserved)
		requireRunsInPlace(r, p)
	})
}

// requireOneAnswer requires one final answer that is whole or does not look so.
func requireOneAnswer(r *rapid.T, p *play) {
	caller := p.caller
	require.Equal(r, 1, caller.finished+caller.aborted+caller.complete+len(caller.refusals), "final answers")
	for index, event := range caller.events {
		require.True(r, strings.HasSuffix(event, from("", index+1, index+1)[0]), "event %d is %s", index+1, event)
	}
	if caller.finished == 1 {
		require.Len(r, caller.events, playedEvents)
	}
	if len(caller.refusals) > 0 {
		require.Zero(r, caller.begun)
		require.Equal(r, len(p.sender.runs()) == 0, promisesNotRun(caller.refusals[0].Verdict), caller.refusals[0].Code)
	}
	require.LessOrEqual(r, len(p.sender.runs()), p.policy.MaxAttempts, "runs")
	if !p.policy.Repeatable() {
		require.LessOrEqual(r, len(p.sender.runs()), 1, "ran twice")
	}
}

// requireBesideBriefly requires that no two backends are at work on a request that may not run twice or
// that is sent with reservations, and on other requests two, for acceptanceTime at most.
func requireBesideBriefly(t require.TestingT, p *play, hasReservations bool) {
	if hasReservations || !p.policy.Repeatable() {
		require.LessOrEqual(t, p.sender.maxAtWork, 1, "two at work")
	}
	require.LessOrEqual(t, p.sender.maxAtWork, 2, "three at work")
	runs := p.sender.runs()
	for index, run := range runs {
		for _, later := range runs[index+1:] {
			both := min(run.endedAt, later.endedAt) - max(run.sentAt, later.sentAt)
			require.LessOrEqual(t, both, acceptanceTime, "%s and %s at work", run.backend, later.backend)
		}
	}
}

// requireRunsInPlace requires that runs that might have gone on were ended for others only.
func requireRunsInPlace(r *rapid.T, p *play) {
	isOver := p.took >= playedTimeout-10*time.Millisecond
	isWhole := p.caller.finished+p.caller.complete == 1
	end := p.took
	for _, run := range p.sender.runs() {
		if !run.cancelled || run.whole || isOver && run.endedAt >= playedTimeout-10*time.Millisecond {
			continue
		}
		if run.endedAt >= end {
			require.True(r, isWhole, "given up at %v while %s was at work", end, run.backend)
			continue
		}
		require.True(r, wasReplaced(p.sender, run), "%s was left at %v for nothing: %+v", run.backend, run.endedAt, run)
	}
}

// wasReplaced reports whether something took a run's place in the moment in which it was cancelled: an
// answer, a request that was not refused for acceptanceTime, a reservation, or the run beside which it
// ran.
func wasReplaced(sender *playedSender, run *playedAttempt) bool {
	for _, at := range sender.reservedAt {
		if at == run.endedAt {
			return true
		}
	}
	for _, each := range sender.attempts {
		isOlder := each.sentAt < run.sentAt && each.isAtWorkAt(run.endedAt)
		isAnswer := each != run && each.headAt == run.endedAt && each.sentAt > run.sentAt
		isAccepted := each != run && each.sentAt+acceptanceTime == run.endedAt && each.isAtWorkAt(run.endedAt)
		if isOlder || isAnswer || isAccepted {
			return true
		}
	}
	return false
}
