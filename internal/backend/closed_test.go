package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/warmup"
)

// isOpen reports whether a backend is offered and taken for new work.
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

// TestEvacuatedZoneGetsNothingNew, backends that are listed later included, nor places
// that were set aside before, until the zone is given back.
func TestEvacuatedZoneGetsNothingNew(t *testing.T) {
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
	require.False(t, set.IsEvacuated("unknown"), "a service without back ends is not evacuated")

	_, reopened = set.SetEvacuated(map[string]bool{"two": true}, time.Now())
	require.Equal(t, []string{"one"}, reopened)
	require.True(t, isOpen(t, set, "a"))
	require.False(t, isOpen(t, set, "b"))
}

// pacedSet is a set in which this daemon may send a cold backend one request a turn.
func pacedSet(perSecond float64) *backend.Set {
	set := backend.NewSet()
	set.SetColdLimits(func(string) float64 { return perSecond }, func(backend.Incarnation, float64, warmup.Window) int { return 1 })
	return set
}

// TestColdBackendGetsItsSeats and no more, until it is warm.
func TestColdBackendGetsItsSeats(t *testing.T) {
	set := pacedSet(14)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, ColdFor: time.Hour})
	taken := 0
	begun := warmup.WindowAt(time.Now())
	for range 100 {
		if _, isTaken := set.Acquire("a", backend.Batch, nil); isTaken {
			taken++
		}
	}
	turns := int(warmup.WindowAt(time.Now()) - begun + 1)
	require.Positive(t, taken)
	require.LessOrEqual(t, taken, turns)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4})
	require.True(t, isOpen(t, set, "a"), "its entry says that it is warm")
}

// TestReopenedZoneIsTakenForCold until entries can have told whether it is.
func TestReopenedZoneIsTakenForCold(t *testing.T) {
	set := pacedSet(14)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, Zone: "one"})
	set.SetEvacuated(map[string]bool{"one": true}, time.Now())
	set.SetEvacuated(nil, time.Now().Add(time.Hour))
	taken := 0
	begun := warmup.WindowAt(time.Now())
	for range 100 {
		if _, isTaken := set.Acquire("a", backend.Online, nil); isTaken {
			taken++
		}
	}
	require.LessOrEqual(t, taken, int(warmup.WindowAt(time.Now())-begun+1))
}

// TestServiceWithoutRateTakesAnyNumber: where the configuration names no rate, a cold backend
// is used as others are.
func TestServiceWithoutRateTakesAnyNumber(t *testing.T) {
	set := pacedSet(0)
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4, ColdFor: time.Hour})
	for range 10 {
		require.True(t, isOpen(t, set, "a"))
	}
}
