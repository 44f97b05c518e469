package backend

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/routing"
)

// lapsePrompt is a prompt that the backends of these tests have read.
var lapsePrompt = []routing.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}

// newUsedBackend returns a set with one backend that runs a request and is ejected.
func newUsedBackend(t *testing.T, entry Instance) (*Set, *Lease) {
	t.Helper()
	set := NewSet()
	set.Put(entry)
	lease, found := set.Acquire(entry.ID, Online, lapsePrompt)
	require.True(t, found)
	set.SetPeerLoads("peer", map[string]PeerLoad{entry.ID: {StartMillis: entry.StartMillis, Online: 2}}, 0)
	set.Unreachable(entry.Incarnation(), time.Now())
	return set, lease
}

// TestReturnedBackendKeepsItsState checks that a backend whose entry lapsed and came back still
// counts the requests that run there, and keeps its health and its prompts. Other daemons' loads
// are reported again; a daemon that left meanwhile must not count.
func TestReturnedBackendKeepsItsState(t *testing.T) {
	for _, start := range []int64{0, 1} {
		set, lease := newUsedBackend(t, instanceStartedAt(start))
		set.Remove("one")
		require.Empty(t, set.OwnLoads())
		set.SetPeerLoads("peer", nil, 0)
		require.Equal(t, ListingNew, set.Put(instanceStartedAt(start)))
		returned := onlyCandidate(t, set, lapsePrompt)
		require.Equal(t, 1, returned.Online, "the request that runs there")
		require.Equal(t, 10, returned.UncachedTokens)
		require.True(t, returned.Ejected)
		require.Equal(t, 1, set.OwnLoads()["one"].Online)
		lease.Release()
		require.Zero(t, onlyCandidate(t, set, nil).Online)
	}
}

// TestOtherProcessHasNoState checks that what was learned about a backend whose entry lapsed isn't
// taken for the state of another process, nor of one that was gone for long.
func TestOtherProcessHasNoState(t *testing.T) {
	elsewhere, cold, restarted := instanceStartedAt(0), instanceStartedAt(0), instanceStartedAt(1)
	elsewhere.Address, cold.ColdFor = "127.0.0.1:2", time.Second
	for name, entry := range map[string]Instance{"another address": elsewhere, "cold": cold, "restarted": restarted} {
		set, _ := newUsedBackend(t, instanceStartedAt(0))
		set.Remove("one")
		set.Put(entry)
		require.Zero(t, onlyCandidate(t, set, nil).Online, name)
		require.Equal(t, 110, onlyCandidate(t, set, lapsePrompt).UncachedTokens, name)
	}
	for _, isLapsed := range []bool{false, true} {
		set, _ := newUsedBackend(t, instanceStartedAt(1))
		if isLapsed {
			set.Remove("one")
		}
		set.RemoveIncarnation(instanceStartedAt(1).Incarnation())
		set.Put(instanceStartedAt(1))
		require.Zero(t, onlyCandidate(t, set, nil).Online, "another process answered at its address")
	}
	synctest.Test(t, func(t *testing.T) {
		set, _ := newUsedBackend(t, instanceStartedAt(1))
		set.Remove("one")
		time.Sleep(maxLapse)
		set.Put(instanceStartedAt(1))
		require.Zero(t, onlyCandidate(t, set, nil).Online, "gone for long")
	})
}

// TestLapsedBackendsAreBounded checks that backends that do not return are forgotten.
func TestLapsedBackendsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		set := NewSet()
		for number := range int64(100) {
			entry := Instance{ID: string(rune('a' + number)), StartMillis: 1, Service: "s", Slots: 4}
			set.Put(entry)
			set.Remove(entry.ID)
			time.Sleep(time.Second)
		}
		require.LessOrEqual(t, len(set.lapsed.byID), int(maxLapse/time.Second)+1)
	})
}
