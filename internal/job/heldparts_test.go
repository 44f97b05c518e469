package job

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/quarantine"
)

// TestHeldPartIsTriedOneItemAtATime guards against items that crash one backend after the other
// if a quarantined part of their prompt does, and against items that wait for ever.
func TestHeldPartIsTriedOneItemAtATime(t *testing.T) {
	now := time.Unix(1000, 0)
	held := newHeldParts()
	verdict := quarantine.Verdict{Fingerprint: quarantine.PartFingerprint("s", "part"), Since: now}
	require.False(t, held.mayTry(verdict, now, now.Add(heldPartCalm-1)), "a backend has just crashed")
	require.True(t, held.mayTry(verdict, now, now.Add(heldPartCalm)))
	require.True(t, held.mayTry(verdict, now, now.Add(heldPartCalm)), "an item that found no backend used the trial up")
	held.record(verdict.Fingerprint, now.Add(heldPartCalm))
	for elapsed := time.Duration(0); elapsed < heldPartTrialInterval; elapsed += 100 * time.Millisecond {
		require.False(t, held.mayTry(verdict, now, now.Add(heldPartCalm+elapsed)), "a second item is tried beside the first")
	}
	require.True(t, held.mayTry(verdict, now, now.Add(heldPartCalm+heldPartTrialInterval)))
	held.record(verdict.Fingerprint, now.Add(heldPartCalm+heldPartTrialInterval))
	busy := quarantine.Verdict{Fingerprint: quarantine.PartFingerprint("s", "busy"), Since: now.Add(maxHeldPartWait)}
	require.False(t, held.mayTry(busy, now, now.Add(maxHeldPartWait-1)))
	require.True(t, held.mayTry(busy, now, now.Add(maxHeldPartWait)), "backends crash under the part all the time")
}
