package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var (
	testPolicy = Policy{Crashes: 3, Time: 10 * time.Minute}
	testStart  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

func numbered(number int) Fingerprint {
	return FingerprintOf("POST", fmt.Sprintf("/%d", number), "", nil)
}

func evidenceOf(fingerprint Fingerprint, instance int, at time.Time) Evidence {
	return Evidence{Fingerprint: fingerprint, Instance: fmt.Sprintf("i%d", instance), At: at}
}

func TestThreeEndedBackendsQuarantine(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	for instance := range 2 {
		require.True(t, ledger.Add(evidenceOf(culprit, instance, testStart), false))
		_, isHeld := ledger.Verdict(culprit, testStart)
		require.False(t, isHeld)
	}
	require.False(t, ledger.Add(evidenceOf(culprit, 0, testStart), true), "one back end counts once, however many daemons saw its end")
	_, isHeld := ledger.Verdict(culprit, testStart)
	require.False(t, isHeld)
	ledger.Add(evidenceOf(culprit, 2, testStart.Add(time.Second)), false)
	verdict, isHeld := ledger.Verdict(culprit, testStart)
	require.True(t, isHeld)
	require.Equal(t, []string{"i0", "i1", "i2"}, verdict.Instances)
	_, isHeld = ledger.Verdict(numbered(2), testStart)
	require.False(t, isHeld, "another request")
}

// TestRunsWithOutputCountHalf: most of what is cut beside a culprit had been
// streaming for a while.
func TestRunsWithOutputCountHalf(t *testing.T) {
	ledger, innocent := NewLedger(testPolicy), numbered(1)
	for instance := range 5 {
		evidence := evidenceOf(innocent, instance, testStart)
		evidence.HadOutput = true
		ledger.Add(evidence, false)
	}
	_, isHeld := ledger.Verdict(innocent, testStart)
	require.False(t, isHeld)
	evidence := evidenceOf(innocent, 5, testStart)
	evidence.HadOutput = true
	ledger.Add(evidence, false)
	_, isHeld = ledger.Verdict(innocent, testStart)
	require.True(t, isHeld, "a request that ends back ends late is found too")
}

// TestOneEndAfterTheQuarantine: a culprit that comes again after its quarantine
// ends one backend and not three.
func TestOneEndAfterTheQuarantine(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	for instance := range 3 {
		ledger.Add(evidenceOf(culprit, instance, testStart), false)
	}
	later := testStart.Add(testPolicy.Time)
	_, isHeld := ledger.Verdict(culprit, later)
	require.False(t, isHeld)
	ledger.Add(evidenceOf(culprit, 3, later), false)
	verdict, isHeld := ledger.Verdict(culprit, later)
	require.True(t, isHeld)
	require.Equal(t, later.Add(testPolicy.Time), verdict.Until)
}

// TestEndsOfKnownCulpritsAreHeldAgainstNobodyElse.
//
// What was seen: long items of jobs were quarantined, though nothing was wrong with
// them. Order of events: a third of the backends ended under many requests in half
// a minute; each run of a long item was cut beside one of them, went on elsewhere
// and was cut again; at the sixth cut it was held for ten minutes. Cause: an end
// was held against all that ran there also once it was known who had caused it.
// Evidence: the six lines crash_evidence of the item (had_output=true), each with a
// backend that stands in another request's line request_quarantined.
func TestEndsOfKnownCulpritsAreHeldAgainstNobodyElse(t *testing.T) {
	ledger, innocent, late := NewLedger(testPolicy), numbered(-1), numbered(-2)
	cut := func(fingerprint Fingerprint, instance int) {
		evidence := evidenceOf(fingerprint, instance, testStart)
		evidence.HadOutput = true
		ledger.Add(evidence, false)
	}
	for instance := range 6 {
		ledger.Add(evidenceOf(numbered(instance/3), instance, testStart), false)
		cut(innocent, instance)
	}
	_, isHeld := ledger.Verdict(innocent, testStart)
	require.False(t, isHeld, "two others ended these back ends")
	for instance := 10; instance < 16; instance++ {
		cut(late, instance)
	}
	_, isHeld = ledger.Verdict(late, testStart)
	require.True(t, isHeld, "nobody else ended these")
	ledger.Clear(numbered(0))
	ledger.Clear(numbered(1))
	_, isHeld = ledger.Verdict(innocent, testStart)
	require.True(t, isHeld, "a culprit that is none explains nothing")
}

// TestCulpritsBesideEachOther: each is found after three ends, also where another
// is known to have ended the same backends.
func TestCulpritsBesideEachOther(t *testing.T) {
	ledger := NewLedger(testPolicy)
	for instance := range 3 {
		ledger.Add(evidenceOf(numbered(1), instance, testStart), false)
		ledger.Add(evidenceOf(numbered(2), instance, testStart), false)
	}
	require.Len(t, ledger.Verdicts(testStart), 2)
}

func TestOldEvidenceExpires(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	ledger.Add(evidenceOf(culprit, 0, testStart), false)
	require.Empty(t, ledger.Expire(testStart.Add(evidenceTime)))
	require.Len(t, ledger.Expire(testStart.Add(evidenceTime+time.Second)), 1)
	require.False(t, ledger.IsSuspect(culprit))
}

// TestFloodOfSuspectsKeepsTheQuarantined: memory is bounded, and what has the
// least evidence goes first.
func TestFloodOfSuspectsKeepsTheQuarantined(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(-1)
	for instance := range 3 {
		ledger.Add(evidenceOf(culprit, instance, testStart), false)
	}
	for number := range 2 * maxSuspects {
		ledger.Add(evidenceOf(numbered(number), 0, testStart.Add(time.Duration(number)*time.Millisecond)), false)
	}
	require.LessOrEqual(t, len(ledger.suspects), maxSuspects)
	_, isHeld := ledger.Verdict(culprit, testStart)
	require.True(t, isHeld)
	require.True(t, ledger.IsSuspect(numbered(2*maxSuspects-1)), "the latest is kept")
	require.False(t, ledger.IsSuspect(numbered(0)), "the oldest has gone")
	require.Equal(t, map[string]int{"i0": 1, "i1": 1, "i2": 1}, ledger.explained, "nothing is kept of those that have gone")
}

// TestRowsThatOthersRemovedCountNoMore: but evidence that has not been written yet
// does.
func TestRowsThatOthersRemovedCountNoMore(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	ledger.Add(evidenceOf(culprit, 0, testStart), true)
	ledger.Add(evidenceOf(culprit, 1, testStart), true)
	ledger.Add(evidenceOf(culprit, 2, testStart), false)
	ledger.RetainStored(map[RowKey]bool{{Fingerprint: culprit, Instance: "i1"}: true})
	require.Equal(t, []string{"i1", "i2"}, ledger.suspects[culprit].instances())
}

// TestLedgerIsIndependentOfOrder: daemons that hear of the same evidence in any
// order, and of some of it twice, decide alike.
func TestLedgerIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		all := []Evidence{}
		for range count {
			seenAt := testStart.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			evidence := evidenceOf(numbered(rapid.IntRange(0, 3).Draw(t, "request")), rapid.IntRange(0, 7).Draw(t, "instance"), seenAt)
			evidence.HadOutput = rapid.Bool().Draw(t, "output")
			all = append(all, evidence)
		}
		inOrder, shuffled := NewLedger(testPolicy), NewLedger(testPolicy)
		for _, each := range all {
			inOrder.Add(each, false)
		}
		for _, each := range rapid.Permutation(append(all, all...)).Draw(t, "order") {
			shuffled.Add(each, rapid.Bool().Draw(t, "stored"))
		}
		require.Equal(t, inOrder.Verdicts(testStart), shuffled.Verdicts(testStart))
	})
}
