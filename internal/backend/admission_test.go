package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/warmup"
)

// isOpen reports whether a backend can be acquired, and checks that Candidates agrees.
func isOpen(t *testing.T, set *backend.Set, id string) bool {
	t.Helper()
	isOffered := false
	for _, candidate := range set.Candidates("s", nil, time.Now()) {
		isOffered = isOffered || (candidate.ID == id && !candidate.Closed)
	}
	lease, isTaken := set.Acquire(id, backend.Online, nil)
	if isTaken {
		lease.Release()
	}
	require.Equal(t, isOffered, isTaken)
	return isTaken
}

// TestEvacuatedZoneGetsNoNewWork checks that an evacuated zone gets no new work until it is
// reopened, also at backends listed later and for requests with a reservation.
func TestEvacuatedZoneGetsNoNewWork(t *testing.T) {
	set := backend.NewSet()
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, Zone: "one"})
	set.Put(backend.Instance{ID: "b", Service: "s", Slots: 4, Zone: "two"})
	evacuated, reopened := set.SetEvacuated(map[string]bool{"one": true}, time.Now())
	require.Equal(t, []string{"one"}, evacuated)
	require.Empty(t, reopened)
	set.Put(backend.Instance{ID: "c", Service: "s", Slots: 4, Zone: "one"})
	require.False(t, isOpen(t, set, "a"))
	require.False(t, isOpen(t, set, "c"))
	require.True(t, isOpen(t, set, "b"))
	_, isTaken := set.AcquireIncarnation(backend.Incarnation{ID: "a"}, backend.Online, nil)
	require.False(t, isTaken)
	require.False(t, set.IsEvacuated("s"))
	require.Equal(t, 1, set.ServiceLoad("s", time.Now()).Backends)

	set.SetEvacuated(map[string]bool{"one": true, "two": true}, time.Now())
	require.True(t, set.IsEvacuated("s"))
	require.False(t, set.IsEvacuated("unknown"), "a service without backends is not evacuated")

	_, reopened = set.SetEvacuated(map[string]bool{"two": true}, time.Now())
	require.Equal(t, []string{"one"}, reopened)
	require.True(t, isOpen(t, set, "a"))
	require.False(t, isOpen(t, set, "b"))
}

// setWithColdLimit returns a set in which this daemon may send a cold backend one request
// per window.
func setWithColdLimit(perSecond float64) *backend.Set {
	set := backend.NewSet()
	set.SetColdLimits(func(string) float64 { return perSecond }, func(backend.Incarnation, float64, warmup.Window) int { return 1 })
	return set
}

// TestColdBackendAllowance checks that a cold backend gets no more than its allowance
// until it is warm.
func TestColdBackendAllowance(t *testing.T) {
	set := setWithColdLimit(14)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, ColdFor: time.Hour})
	taken := 0
	first := warmup.WindowAt(time.Now())
	for range 100 {
		if _, isTaken := set.Acquire("a", backend.Batch, nil); isTaken {
			taken++
		}
	}
	windows := int(warmup.WindowAt(time.Now()) - first + 1)
	require.Positive(t, taken)
	require.LessOrEqual(t, taken, windows)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4})
	require.True(t, isOpen(t, set, "a"), "the backend is warm by its entry")
}

// TestReopenedZoneIsCold checks that backends of a reopened zone count as cold until their
// entries are up to date.
func TestReopenedZoneIsCold(t *testing.T) {
	set := setWithColdLimit(14)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, Zone: "one"})
	set.SetEvacuated(map[string]bool{"one": true}, time.Now())
	set.SetEvacuated(nil, time.Now().Add(time.Hour))
	taken := 0
	first := warmup.WindowAt(time.Now())
	for range 100 {
		if _, isTaken := set.Acquire("a", backend.Online, nil); isTaken {
			taken++
		}
	}
	require.LessOrEqual(t, taken, int(warmup.WindowAt(time.Now())-first+1))
}

// TestServiceWithoutColdRateIsUnlimited checks that without a configured rate, a cold
// backend gets any number of requests.
func TestServiceWithoutColdRateIsUnlimited(t *testing.T) {
	set := setWithColdLimit(0)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, ColdFor: time.Hour})
	for range 10 {
		require.True(t, isOpen(t, set, "a"))
	}
}
