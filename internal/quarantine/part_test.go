package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const testService = "s"

func partsOf(ids ...string) Parts {
	parts := Parts{}
	for _, id := range ids {
		parts = append(parts, PartFingerprint(testService, id))
	}
	return parts
}

// holds reports whether a guard holds a new request with these parts.
func holds(guard *Guard, ids ...string) bool {
	_, isQuarantined := guard.Verdict(numbered(rand.Int()), partsOf(ids...))
	return isQuarantined
}

// crashParts lets backends crash under new requests with these parts.
func (f *fleet) crashParts(from, count int, ids ...string) {
	for number := from; number < from+count; number++ {
		observer := f.guards[number%len(f.guards)]
		observer.Crashed(fmt.Sprintf("i%d", number), []Run{{Fingerprint: numbered(number), Parts: partsOf(ids...)}})
	}
}

const partCrashes = 4 // those of testPolicy and one more

func TestPartsOfOtherServicesAreApart(t *testing.T) {
	require.True(t, PartFingerprint("s", "a").IsPart())
	require.False(t, numbered(1).IsPart())
	require.NotEqual(t, PartFingerprint("s", "a"), PartFingerprint("t", "a"))
	require.NotEqual(t, PartFingerprint("s", "ta"), PartFingerprint("st", "a"))
}

// Guards against new requests that each start without evidence though they share a culprit part.
func TestAllDaemonsHoldPart(t *testing.T) {
	f := newFleet(5)
	f.crashParts(0, partCrashes-1, "shared", "bad")
	require.False(t, holds(f.guards[0], "shared", "bad", "own"))
	f.guards[1].PartsSucceeded(partsOf("shared"))
	f.crashParts(partCrashes-1, 1, "shared", "bad")
	for _, guard := range f.guards {
		require.True(t, holds(guard, "shared", "bad", "own"))
		require.False(t, holds(guard, "shared", "own"))
	}
	late := f.add()
	late.Replace(f.stored(), 1)
	require.True(t, holds(late, "shared", "bad", "own"))
	require.False(t, holds(late, "shared", "own"))
}

// Guards against holding a part that was only beside a culprit, and against letting it pass if it
// is a culprit itself.
func TestPartBesideCulpritIsTriedWithoutIt(t *testing.T) {
	f := newFleet(3)
	f.crashParts(0, partCrashes, "beside", "bad")
	require.True(t, holds(f.guards[0], "beside", "bad"))
	require.False(t, holds(f.guards[0], "beside", "own"), "the crashes are explained by the other part")
	f.crashParts(partCrashes, 1, "beside")
	require.False(t, holds(f.guards[0], "beside", "own"), "one crash may have a cause of its own")
	f.crashParts(partCrashes+1, 1, "beside")
	require.True(t, holds(f.guards[0], "beside", "own"), "it crashes backends without the other part")
}

// Guards against an innocent part that two culprits share.
func TestPartBesideTwoCulpritsIsTriedWithoutThem(t *testing.T) {
	f := newFleet(3)
	f.crashParts(0, partCrashes, "beside", "bad")
	f.crashParts(partCrashes, partCrashes, "beside", "worse")
	require.False(t, holds(f.guards[0], "beside", "own"))
	require.True(t, holds(f.guards[0], "beside", "worse"))
}

func TestOutputClearsPartEverywhere(t *testing.T) {
	f := newFleet(4)
	f.crashParts(0, partCrashes, "sound")
	require.True(t, holds(f.guards[3], "sound"))
	f.guards[2].PartsSucceeded(partsOf("sound"))
	for _, guard := range f.guards {
		require.False(t, holds(guard, "sound"))
	}
	for key := range f.rows {
		require.NotContains(t, key, partsOf("sound")[0].String())
	}
}

// Guards against a flood of parts that pushes out the evidence against a culprit, or against a
// request.
func TestFloodOfPartsKeepsVerdicts(t *testing.T) {
	ledger := NewLedger(testPolicy)
	for instance := range partCrashes {
		ledger.Add(evidenceOf(PartFingerprint(testService, "bad"), instance, testStart), false)
		ledger.Add(evidenceOf(numbered(1), instance, testStart), false)
	}
	ledger.Add(evidenceOf(numbered(2), 0, testStart), false)
	for number := range 3 * maxSuspects {
		ledger.Add(evidenceOf(PartFingerprint(testService, fmt.Sprint(number)), number, testStart.Add(time.Minute)), false)
	}
	require.LessOrEqual(t, ledger.partCount, maxSuspects)
	require.Len(t, ledger.Verdicts(testStart), 2)
	require.True(t, ledger.IsSuspect(numbered(2)), "parts push out no request, however little is known against it")
	require.Equal(t, ledger.partCount, len(ledger.suspects)-2)
}

// Guards against a crash under a long list of parts that costs a datagram for each of them, and
// against a culprit that hides at the end of such lists.
func TestLongListsOfPartsAreBounded(t *testing.T) {
	f, crashes := newFleet(2), 0
	for ; crashes < 60 && !holds(f.guards[1], "bad"); crashes++ {
		parts := Parts{}
		for number := range 600 {
			parts = append(parts, PartFingerprint(testService, fmt.Sprint(crashes, "-", number)))
		}
		parts = append(parts, partsOf("bad")...)
		require.Len(t, evidenceOfCrash("i", []Run{{Parts: parts}}, testStart), 1+maxCrashParts)
		f.guards[0].Crashed(fmt.Sprint("i", crashes), []Run{{Fingerprint: numbered(crashes), Parts: parts}})
	}
	require.Less(t, crashes, 60)
}

// Guards against one withdrawal from each daemon that has served a part lately.
func TestOneDaemonWithdrawsExcusedEvidence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(20)
		f.stagger = func() time.Duration { return rand.N(60 * time.Millisecond) }
		for _, guard := range f.guards[1:] {
			guard.PartsSucceeded(partsOf("popular"))
		}
		f.guards[0].Crashed("i", []Run{{Fingerprint: numbered(1), Parts: partsOf("popular")}})
		time.Sleep(time.Second)
		require.Equal(t, 1, f.withdrawals)
		require.False(t, f.guards[0].ledger.IsSuspect(partsOf("popular")[0]))
	})
}

// waves plays a load on backends of which waves end a third, again and again, without a culprit.
type waves struct {
	*fleet
	random   *rand.Rand
	backends int
	// gap is the time between waves, toOutput that from a run's start to its output.
	gap, toOutput time.Duration
	// rareParts is the number of parts of which each request has one, beside the shared first one.
	rareParts int
	rate      int
}

// flight is a request in flight.
type flight struct {
	startedAt time.Time
	backend   int
	parts     Parts
	number    int
	isSound   bool
}

// play returns the highest number of parts held at once, and the number of requests held.
func (w *waves) play(duration time.Duration) (held, refused int) {
	const step = 5 * time.Millisecond
	inFlight, incarnations := []flight{}, make([]int, w.backends)
	nextWave := time.Now().Add(w.gap)
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(step) {
		now := time.Now()
		if w.random.Float64() < float64(w.rate)*step.Seconds() {
			parts := partsOf("shared", fmt.Sprint("rare", w.random.IntN(w.rareParts)), fmt.Sprint("own", w.random.Int()))
			if _, isHeld := w.guards[w.random.IntN(len(w.guards))].Verdict(numbered(w.random.Int()), parts); isHeld {
				refused++
			} else {
				inFlight = append(inFlight, flight{startedAt: now, backend: w.random.IntN(w.backends), parts: parts, number: w.random.Int()})
			}
		}
		for index := range inFlight {
			if each := &inFlight[index]; !each.isSound && now.Sub(each.startedAt) >= w.toOutput {
				each.isSound = true
				w.guards[w.random.IntN(len(w.guards))].PartsSucceeded(each.parts)
			}
		}
		if now.After(nextWave) {
			nextWave = now.Add(w.gap)
			inFlight = w.wave(inFlight, incarnations)
		}
		current := 0
		for _, verdict := range w.guards[0].Verdicts() {
			if verdict.Fingerprint.IsPart() {
				current++
			}
		}
		held = max(held, current)
	}
	return held, refused
}

// wave ends a third of the backends and returns the runs that are left. The caller of a run that
// is cut sends it again, at another backend.
func (w *waves) wave(inFlight []flight, incarnations []int) []flight {
	ended := map[int]bool{}
	for _, backend := range w.random.Perm(w.backends)[:w.backends/3] {
		ended[backend] = true
		runs := []Run{}
		for _, each := range inFlight {
			if each.backend == backend && !each.isSound {
				runs = append(runs, Run{Fingerprint: numbered(each.number), Parts: each.parts})
			}
		}
		incarnations[backend]++
		w.guards[w.random.IntN(len(w.guards))].Crashed(fmt.Sprintf("b%d-%d", backend, incarnations[backend]), runs)
	}
	left := []flight{}
	for _, each := range inFlight {
		if ended[each.backend] && !each.isSound {
			each.backend, each.startedAt = w.random.IntN(w.backends), time.Now()
		}
		left = append(left, each)
	}
	return left
}

// Guards against holding parts, shared or rare, that were in flight when backends ended for
// another reason.
func TestWavesHoldNoPart(t *testing.T) {
	for _, played := range []waves{
		{gap: time.Second, toOutput: 50 * time.Millisecond, rareParts: 1000, rate: 50},
		{gap: time.Second, toOutput: 400 * time.Millisecond, rareParts: 1000, rate: 50},
		{gap: 2 * time.Second, toOutput: 200 * time.Millisecond, rareParts: 100, rate: 5},
	} {
		t.Run(fmt.Sprint(played.toOutput, played.rareParts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played.fleet, played.backends, played.random = newFleet(5), 18, rand.New(rand.NewPCG(7, 7))
				held, refused := played.play(2 * time.Minute)
				require.Zero(t, refused)
				require.Zero(t, held)
			})
		})
	}
}
