package table

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/boottime"
)

// testBounds are the bounds of these tests.
var testBounds = AbsenceBounds{Present: 1800 * time.Millisecond, Return: 1800 * time.Millisecond, Outage: 3 * time.Second}

// suspendableMachine provides a boottime clock that includes the time slept.
type suspendableMachine struct {
	started time.Time
	slept   atomic.Int64
}

func (m *suspendableMachine) now() boottime.Instant {
	return boottime.Instant(time.Hour) + boottime.Instant(time.Since(m.started)) + boottime.Instant(m.slept.Load())
}

// recoveredFollower returns a follower whose store has just answered again after an outage.
func (m *suspendableMachine) recoveredFollower() *Follower {
	follower := &Follower{Table: "t", Logger: slog.New(slog.DiscardHandler), Clock: m.now, Bounds: testBounds}
	follower.arrive(DoubtNone)
	time.Sleep(testBounds.Outage)
	follower.fail()
	follower.arrive(DoubtNone)
	return follower
}

// arrive is the arrival of rows that are current now.
func (f *Follower) arrive(otherDoubt Doubt) {
	f.recordResult(nil)
	f.giveGrace(f.Now(), otherDoubt)
	f.recordStoreAnswer(f.Now())
	f.recordCall(nil, f.Now())
}

// fail is a call that the store refuses.
func (f *Follower) fail() {
	time.Sleep(time.Millisecond)
	refused := &Error{Kind: ErrorNotDone, Call: "watch"}
	f.recordCall(refused, f.Now())
	f.recordResult(refused)
}

// TestSuspendDelaysSettling guards against taking missing rows for removed ones when the
// machine was suspended during the grace and the store hasn't answered since.
func TestSuspendDelaysSettling(t *testing.T) {
	for _, span := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		t.Run(span.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &suspendableMachine{started: time.Now()}
				follower := machine.recoveredFollower()
				grace := follower.Grace()
				require.False(t, grace.IsOver() || follower.IsSettled())
				time.Sleep(testBounds.Return - time.Second)
				machine.slept.Add(int64(span))
				require.False(t, grace.IsOver() || follower.IsSettled(), "no answer was received since the suspend")
				time.Sleep(10 * time.Millisecond)
				require.False(t, grace.IsOver() || follower.IsSettled(), "no answer was received since the suspend")
				follower.recordStoreAnswer(follower.Now())
				require.True(t, grace.IsOver() && follower.IsSettled())
				machine.slept.Add(int64(time.Minute))
				require.True(t, grace.IsOver() && follower.IsSettled(), "the rows were complete before this suspend")
			})
		})
	}
}

// TestTableSettlesWithoutAnswer guards against waiting for an answer of the store after
// the grace when the machine was not suspended.
func TestTableSettlesWithoutAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := &suspendableMachine{started: time.Now()}
		follower := machine.recoveredFollower()
		grace := follower.Grace()
		time.Sleep(testBounds.Return - time.Millisecond)
		require.False(t, grace.IsOver() || follower.IsSettled())
		time.Sleep(time.Millisecond)
		require.True(t, grace.IsOver() && follower.IsSettled())
		follower.fail()
		time.Sleep(time.Hour)
		require.False(t, follower.IsSettled(), "the store is unavailable")
	})
}

// Guards against a grace that counts from when this daemon notices: with a store that answers others, it
// ends before the bound for a row that was removed after it was last known to be there.
func TestGraceCountsFromLastPresence(t *testing.T) {
	for name, each := range map[string]struct {
		disturb func(*Follower)
		expect  Doubt
	}{
		"nothing":      {func(*Follower) {}, DoubtNone},
		"failed call":  {(*Follower).fail, DoubtCallFailed},
		"failed calls": {func(f *Follower) { f.fail(); time.Sleep(time.Second); f.fail() }, DoubtCallFailed},
		"throttled for long": {func(f *Follower) {
			for range 10 {
				time.Sleep(time.Second)
				f.recordCall(&Error{Kind: ErrorThrottled}, f.Now())
			}
			f.fail()
		}, DoubtCallFailed},
		"failed for long while others are served": {func(f *Follower) {
			for range 10 {
				time.Sleep(time.Second)
				f.recordConfirmed(f.Now())
				f.fail()
			}
		}, DoubtCallFailed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				machine := &suspendableMachine{started: time.Now()}
				follower := &Follower{Table: "t", Logger: slog.New(slog.DiscardHandler), Clock: machine.now, Bounds: testBounds}
				follower.arrive(DoubtNone)
				each.disturb(follower)
				present := follower.ConfirmedAt()
				time.Sleep(200 * time.Millisecond)
				follower.arrive(DoubtNone)
				grace := follower.Grace()
				require.Equal(t, each.expect, grace.Doubt)
				time.Sleep(time.Until(present.Add(testBounds.Present)))
				require.True(t, grace.IsOver())
			})
		})
	}
}

// Guards against an end of the grace that later rows or failures put off, and against one behind both the
// last presence and the last sign of an outage.
func TestGraceNeverCountsFromArrival(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instant := func(name string) boottime.Instant {
			return boottime.Instant(rapid.Int64Range(0, int64(20*time.Second)).Draw(t, name))
		}
		starts, failed := []boottime.Instant{}, []unansweredCall{}
		for range rapid.IntRange(0, 4).Draw(t, "failures") {
			starts = append(starts, instant("unanswered"))
		}
		slices.Sort(starts)
		for _, started := range starts {
			failed = append(failed, unansweredCall{startedAt: started, endedAt: started, isSilent: rapid.Bool().Draw(t, "silent")})
		}
		known := contact{presentAt: instant("present"), answeredAt: instant("answered"), unanswered: failed, arrivedAt: instant("arrived"), awayAt: instant("away")}
		now := instant("now")
		before := known.awayAt
		known.awayAt = known.lastAway(testBounds)
		if known.awayAt != before {
			require.Contains(t, starts, known.awayAt)
			require.GreaterOrEqual(t, known.awayAt.Sub(known.answeredAt), testBounds.Outage)
			require.GreaterOrEqual(t, known.arrivedAt, known.awayAt, "others were served meanwhile")
		}
		_, until := known.judge(testBounds, now, DoubtPeer)
		require.LessOrEqual(t, until, max(known.presentAt.Add(testBounds.Present), known.awayAt.Add(testBounds.Return)))
	})
}

// Guards against taking one answer that is late, and single refused calls behind it, for an outage, and
// against missing an outage of refused or unanswered calls.
func TestOutagesAreTold(t *testing.T) {
	const answeredAt = boottime.Instant(time.Hour)
	at := func(seconds float64) boottime.Instant {
		return answeredAt.Add(time.Duration(seconds * float64(time.Second)))
	}
	refused := func(seconds float64) unansweredCall {
		return unansweredCall{startedAt: at(seconds), endedAt: at(seconds)}
	}
	silent := func(seconds float64) unansweredCall {
		return unansweredCall{startedAt: at(seconds), endedAt: at(seconds + 2.2), isSilent: true}
	}
	for name, each := range map[string]struct {
		calls   []unansweredCall
		arrived float64
		away    float64
	}{
		"nothing":                           {nil, 4, 0},
		"refused for long":                  {[]unansweredCall{refused(1), refused(2), refused(3.2)}, 3.3, 3.2},
		"refused briefly":                   {[]unansweredCall{refused(1), refused(2.9)}, 3.3, 0},
		"late, then refused":                {[]unansweredCall{silent(0.1), refused(2.4), refused(3.2)}, 3.3, 0},
		"late, then refused for long":       {[]unansweredCall{silent(0.1), refused(2.4), refused(5.4)}, 5.5, 5.4},
		"silent":                            {[]unansweredCall{silent(0.1), silent(2.4), silent(4.7)}, 7, 4.7},
		"refused, others answered meantime": {[]unansweredCall{refused(1), refused(2), refused(3.2)}, 2.5, 0},
		"others answered at the end":        {[]unansweredCall{refused(1), refused(3.2), refused(9)}, 3.3, 3.2},
		"before the last answer":            {[]unansweredCall{refused(-9), refused(-1)}, 4, 0},
	} {
		t.Run(name, func(t *testing.T) {
			known := contact{answeredAt: answeredAt, unanswered: each.calls, arrivedAt: at(each.arrived)}
			want := boottime.Instant(0)
			if each.away > 0 {
				want = at(each.away)
			}
			require.Equal(t, want, known.lastAway(testBounds))
		})
	}
}
