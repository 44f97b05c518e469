package backend_test

import (
	"fmt"
	"maps"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
	"topazpulley/internal/routing"
)

var prompt = []routing.PromptPart{{ID: "shared", Tokens: 5000}, {ID: "own", Tokens: 100}}

func newSet() *backend.Set {
	set := backend.NewSet()
	set.Put(backend.Instance{ID: "a", Service: "s", Slots: 4})
	return set
}

func candidate(t *testing.T, set *backend.Set) routing.Candidate {
	t.Helper()
	found := set.Candidates("s", prompt, time.Now())
	require.Len(t, found, 1)
	return found[0]
}

// TestLeaseCountsUntilRelease checks that a lease counts its request until the first
// release, and further releases have no effect.
func TestLeaseCountsUntilRelease(t *testing.T) {
	set := newSet()
	lease, found := set.Acquire("a", backend.Online, prompt)
	require.True(t, found)
	require.Equal(t, 1, candidate(t, set).Online)
	require.Equal(t, 5100, candidate(t, set).PendingTokens)
	require.Equal(t, 100, candidate(t, set).UncachedTokens, "the shared part counts as cached")
	lease.Started()
	require.Zero(t, candidate(t, set).PendingTokens)
	lease.Release()
	lease.Release()
	require.Zero(t, candidate(t, set).Online)
}

// TestPeerLoadsAreCounted checks that other daemons' loads count until they are replaced
// or the daemon is removed.
func TestPeerLoadsAreCounted(t *testing.T) {
	set := newSet()
	set.SetPeerLoads("d1", map[string]backend.PeerLoad{"a": {Online: 2, Batch: 1, PendingTokens: 7}, "unknown": {Online: 9}}, 3)
	set.SetPeerLoads("d2", map[string]backend.PeerLoad{"a": {Online: 1}}, 4)
	require.Equal(t, 3, candidate(t, set).Online)
	require.Equal(t, 1, candidate(t, set).Batch)
	require.Zero(t, candidate(t, set).OwnBatch)
	require.Equal(t, 7, set.PeerWaiting())
	set.SetPeerLoads("d1", nil, 0)
	require.Equal(t, 4, set.PeerWaiting())
	require.Equal(t, 1, candidate(t, set).Online)
	require.Empty(t, set.OwnLoads(), "own loads must not include other daemons' loads")
}

// TestPromptReadsArePublishedOnce checks that reads of large parts are returned once, and
// reported reads expire.
func TestPromptReadsArePublishedOnce(t *testing.T) {
	set, other := newSet(), newSet()
	_, _ = set.Acquire("a", backend.Online, prompt)
	select {
	case <-set.PublishSignal():
	default:
		t.Fatal("a large prompt must be published at once")
	}
	reads := set.TakePromptReads()
	require.Equal(t, []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "a"}, Part: "shared"}}, reads)
	require.Empty(t, set.TakePromptReads())
	require.Equal(t, 5100, candidate(t, other).UncachedTokens)
	other.RecordPeerPromptReads(reads, time.Now())
	require.Equal(t, 100, candidate(t, other).UncachedTokens)
	other.RecordPeerPromptReads(reads, time.Now().Add(-time.Minute))
	require.Equal(t, 5100, candidate(t, other).UncachedTokens, "the read is older than the prompt lifetime")
}

// TestFailuresEject checks that each ejection lasts longer than the one before.
func TestFailuresEject(t *testing.T) {
	set := newSet()
	now := time.Now()
	require.False(t, set.Failed(backend.Incarnation{ID: "a"}, now))
	require.True(t, set.Failed(backend.Incarnation{ID: "a"}, now))
	require.True(t, candidate(t, set).Ejected)
	later := now.Add(1100 * time.Millisecond)
	require.False(t, set.Candidates("s", nil, later)[0].Ejected)
	set.Unreachable(backend.Incarnation{ID: "a"}, later)
	require.True(t, set.Candidates("s", nil, later.Add(1900*time.Millisecond))[0].Ejected, "the second ejection must last longer")
	require.False(t, set.Candidates("s", nil, later.Add(time.Minute))[0].Ejected)
}

// TestPeerFailuresEject checks that failures seen by several daemons eject a backend that
// also has successes. Rare failures don't.
func TestPeerFailuresEject(t *testing.T) {
	sets := []*backend.Set{newSet(), newSet(), newSet(), newSet()}
	now := time.Now()
	for _, each := range sets[1:] {
		require.False(t, each.Failed(backend.Incarnation{ID: "a"}, now))
		each.Succeeded(backend.Incarnation{ID: "a"}, now)
		sets[0].RecordPeerFailures(each.TakeUnsentFailures(), now)
		require.Empty(t, each.TakeUnsentFailures())
	}
	require.True(t, candidate(t, sets[0]).Ejected)
	rare := newSet()
	for second := range 20 {
		rare.RecordPeerFailures(map[backend.Incarnation]int{{ID: "a"}: 1}, now.Add(time.Duration(second)*3*time.Second))
		require.False(t, rare.Candidates("s", nil, now.Add(time.Duration(second)*3*time.Second))[0].Ejected)
	}
}

// TestRetainAndRemove checks that removed backends are not listed and can't be acquired.
func TestRetainAndRemove(t *testing.T) {
	set := newSet()
	set.Put(backend.Instance{ID: "b", Service: "s", Slots: 4})
	set.Retain(map[string]bool{"b": true})
	_, known := set.Get("a")
	require.False(t, known)
	set.Remove("b")
	require.Empty(t, set.Instances(""))
	_, found := set.Acquire("b", backend.Online, nil)
	require.False(t, found)
}

// TestServiceListsMatchEntries checks that after any sequence of changes each service
// lists its own backends, sorted by id.
func TestServiceListsMatchEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := backend.NewSet()
		expected := map[string]string{}
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			id := fmt.Sprint("b", rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "change") {
			case 0:
				set.Remove(id)
				delete(expected, id)
			case 1:
				set.Retain(map[string]bool{id: true})
				maps.DeleteFunc(expected, func(other, _ string) bool { return other != id })
			default:
				service := fmt.Sprint("s", rapid.IntRange(0, 1).Draw(t, "service"))
				set.Put(backend.Instance{ID: id, Service: service, Slots: 1})
				expected[id] = service
			}
		}
		for _, service := range []string{"s0", "s1"} {
			ids := []string{}
			for id, belongs := range expected {
				if belongs == service {
					ids = append(ids, id)
				}
			}
			sort.Strings(ids)
			listed := []string{}
			for _, candidate := range set.Candidates(service, nil, time.Now()) {
				listed = append(listed, candidate.ID)
			}
			require.Equal(t, ids, listed)
		}
	})
}

// BenchmarkListing adds 3000 backends to an empty set, as at the start of a daemon.
func BenchmarkListing(b *testing.B) {
	for b.Loop() {
		set := backend.NewSet()
		for index := range 3000 {
			set.Put(backend.Instance{ID: fmt.Sprintf("i-%x", index*7919%65536), Service: "s", Slots: 9})
		}
	}
}
