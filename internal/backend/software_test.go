package backend_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
)

func TestSoftwareVersionsOfWindow(t *testing.T) {
	set, now := backend.NewSet(), time.Now()
	put := func(id, version string) {
		set.Put(backend.Instance{ID: id, Service: "s", Version: version, Slots: 4})
	}
	put("a", "v1")
	put("b", "v1")
	require.Equal(t, []string{"v1"}, set.SoftwareVersions("s", now))
	require.Empty(t, set.SoftwareSignal())
	put("c", "v2")
	require.Len(t, set.SoftwareSignal(), 1)
	require.Equal(t, []string{"v1", "v2"}, set.SoftwareVersions("s", now))
	require.Equal(t, 2, set.CountSoftware("s", "v1"))

	// A version that was listed lately may have begun streams.
	set.Remove("c")
	require.Equal(t, []string{"v1", "v2"}, set.SoftwareVersions("s", now))
	require.Zero(t, set.CountSoftware("s", "v2"))
	require.Equal(t, []string{"v1"}, set.SoftwareVersions("s", now.Add(2*backend.SoftwareWindow)))

	// An entry may name another version for the same id.
	put("b", "v3")
	require.Equal(t, []string{"v1", "v2", "v3"}, set.SoftwareVersions("s", time.Now()))
	require.Equal(t, 1, set.CountSoftware("s", "v1"))
	set.Put(backend.Instance{ID: "a", Service: "s", Version: "v1", Slots: 4, Draining: true})
	require.Zero(t, set.CountSoftware("s", "v1"), "a draining back end takes no new work")
}

func TestReplacedBackendHasNoPresentSoftware(t *testing.T) {
	set := backend.NewSet()
	chosen := backend.Instance{ID: "a", Service: "s", Version: "v1", Slots: 4}
	require.Equal(t, "v1", set.PresentSoftware(chosen), "a back end that left runs what it had begun")
	set.Put(backend.Instance{ID: "a", Service: "s", Version: "v2", Slots: 4})
	require.Empty(t, set.PresentSoftware(chosen))
}

// Guards against versions that count as not listed because this daemon takes their entries for those
// of earlier processes, while daemons that have not seen the later ones use them.
func TestVersionsOfStaleEntriesCount(t *testing.T) {
	const later, window = 2000, 2 * backend.SoftwareWindow
	set := backend.NewSet()
	put := func(version string, start int64) backend.Listing {
		return set.Put(backend.Instance{ID: "a", Service: "s", Version: version, Slots: 4, StartMillis: start})
	}
	versions := func() []string { return set.SoftwareVersions("s", time.Now().Add(window)) }
	put("v1", later)
	require.Equal(t, backend.ListingStale, put("v2", later-1))
	require.Equal(t, []string{"v1", "v2"}, versions())
	require.Equal(t, backend.ListingSame, put("v1", later))
	require.Equal(t, []string{"v1"}, versions())
	put("v2", later-1)
	set.DropUnused()
	require.Equal(t, []string{"v1"}, versions())
	put("v2", later-1)
	set.Remove("a")
	require.Empty(t, versions())
	require.Equal(t, []string{"v1", "v2"}, set.SoftwareVersions("s", time.Now()))
}
