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

func TestThreeCrashesQuarantine(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	for instance := range 2 {
		require.True(t, ledger.Add(evidenceOf(culprit, instance, testStart), false))
		_, isQuarantined := ledger.Verdict(culprit, testStart)
		require.False(t, isQuarantined)
	}
	require.False(t, ledger.Add(evidenceOf(culprit, 0, testStart), true), "one backend counts once, however many daemons observed its crash")
	_, isQuarantined := ledger.Verdict(culprit, testStart)
	require.False(t, isQuarantined)
	ledger.Add(evidenceOf(culprit, 2, testStart.Add(time.Second)), false)
	verdict, isQuarantined := ledger.Verdict(culprit, testStart)
	require.True(t, isQuarantined)
	require.Equal(t, []string{"i0", "i1", "i2"}, verdict.Instances)
	_, isQuarantined = ledger.Verdict(numbered(2), testStart)
	require.False(t, isQuarantined, "another request")
}

// TestCrashesAfterOutputCountHalf guards against the quarantine of requests that were in
// flight beside a culprit: most of them had produced output.
func TestCrashesAfterOutputCountHalf(t *testing.T) {
	ledger, innocent := NewLedger(testPolicy), numbered(1)
	for instance := range 5 {
		evidence := evidenceOf(innocent, instance, testStart)
		evidence.HadOutput = true
		ledger.Add(evidence, false)
	}
	_, isQuarantined := ledger.Verdict(innocent, testStart)
	require.False(t, isQuarantined)
	evidence := evidenceOf(innocent, 5, testStart)
	evidence.HadOutput = true
	ledger.Add(evidence, false)
	_, isQuarantined = ledger.Verdict(innocent, testStart)
	require.True(t, isQuarantined, "a request that crashes backends after its first output is quarantined too")
}

// TestOneCrashQuarantinesAgain checks that one crash after a quarantine starts another.
func TestOneCrashQuarantinesAgain(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	for instance := range 3 {
		ledger.Add(evidenceOf(culprit, instance, testStart), false)
	}
	later := testStart.Add(testPolicy.Time)
	_, isQuarantined := ledger.Verdict(culprit, later)
	require.False(t, isQuarantined)
	ledger.Add(evidenceOf(culprit, 3, later), false)
	verdict, isQuarantined := ledger.Verdict(culprit, later)
	require.True(t, isQuarantined)
	require.Equal(t, later.Add(testPolicy.Time), verdict.Until)
}

// TestAttributedCrashesDoNotCountAgainstOthers guards against the quarantine of long batch
// items that were interrupted repeatedly by crashes that other requests caused.
func TestAttributedCrashesDoNotCountAgainstOthers(t *testing.T) {
	ledger, innocent, late := NewLedger(testPolicy), numbered(-1), numbered(-2)
	interrupt := func(fingerprint Fingerprint, instance int) {
		evidence := evidenceOf(fingerprint, instance, testStart)
		evidence.HadOutput = true
		ledger.Add(evidence, false)
	}
	for instance := range 6 {
		ledger.Add(evidenceOf(numbered(instance/3), instance, testStart), false)
		interrupt(innocent, instance)
	}
	_, isQuarantined := ledger.Verdict(innocent, testStart)
	require.False(t, isQuarantined, "two other requests crashed these backends")
	for instance := 10; instance < 16; instance++ {
		interrupt(late, instance)
	}
	_, isQuarantined = ledger.Verdict(late, testStart)
	require.True(t, isQuarantined, "no other request crashed these")
	ledger.Clear(numbered(0))
	ledger.Clear(numbered(1))
	_, isQuarantined = ledger.Verdict(innocent, testStart)
	require.True(t, isQuarantined, "crashes are not attributed to a cleared request")
}

// TestTwoCulpritsAtTheSameBackends checks that each is quarantined after three crashes,
// though the crashes are attributed to the other one too.
func TestTwoCulpritsAtTheSameBackends(t *testing.T) {
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

// TestEvictionKeepsQuarantined checks that the ledger is bounded and evicts the suspects
// with the least evidence first.
func TestEvictionKeepsQuarantined(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(-1)
	for instance := range 3 {
		ledger.Add(evidenceOf(culprit, instance, testStart), false)
	}
	for number := range 2 * maxSuspects {
		ledger.Add(evidenceOf(numbered(number), 0, testStart.Add(time.Duration(number)*time.Millisecond)), false)
	}
	require.LessOrEqual(t, len(ledger.suspects), maxSuspects)
	_, isQuarantined := ledger.Verdict(culprit, testStart)
	require.True(t, isQuarantined)
	require.True(t, ledger.IsSuspect(numbered(2*maxSuspects-1)), "the latest suspect is kept")
	require.False(t, ledger.IsSuspect(numbered(0)), "the oldest suspect is evicted")
	require.Equal(t, map[string]int{"i0": 1, "i1": 1, "i2": 1}, ledger.attributed, "evicted suspects leave no attribution")
}

// TestRetainStored checks that evidence whose row was removed is dropped, and that
// evidence that has not been stored yet is kept.
func TestRetainStored(t *testing.T) {
	ledger, culprit := NewLedger(testPolicy), numbered(1)
	ledger.Add(evidenceOf(culprit, 0, testStart), true)
	ledger.Add(evidenceOf(culprit, 1, testStart), true)
	ledger.Add(evidenceOf(culprit, 2, testStart), false)
	ledger.RetainStored(map[RowKey]bool{{Fingerprint: culprit, Instance: "i1"}: true})
	require.Equal(t, []string{"i1", "i2"}, ledger.suspects[culprit].instances())
}

// TestLedgerIsIndependentOfOrder checks that the verdicts do not depend on the order of the
// evidence or on duplicates.
func TestLedgerIsIndependentOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "count")
		all := []Evidence{}
		for range count {
			observedAt := testStart.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			evidence := evidenceOf(numbered(rapid.IntRange(0, 3).Draw(t, "request")), rapid.IntRange(0, 7).Draw(t, "instance"), observedAt)
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
