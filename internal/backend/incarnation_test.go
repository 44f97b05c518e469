package backend

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/routing"
)

// instanceStartedAt returns the entry of a backend with a start time.
func instanceStartedAt(startMillis int64) Instance {
	return Instance{ID: "one", StartMillis: startMillis, Service: "s", Address: "127.0.0.1:1", Slots: 4}
}

// onlyCandidate returns the only candidate of the test's service.
func onlyCandidate(t require.TestingT, set *Set, prompt []routing.PromptPart) routing.Candidate {
	candidates := set.Candidates("s", prompt, time.Now())
	require.Len(t, candidates, 1)
	return candidates[0]
}

// TestRestartClearsState checks that a restart clears loads, reports, prompts and failures
// of the previous incarnation.
func TestRestartClearsState(t *testing.T) {
	set, now := NewSet(), time.Now()
	prompt := []routing.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	require.Equal(t, ListingNew, set.Put(instanceStartedAt(1)))
	old := instanceStartedAt(1).Incarnation()
	lease, found := set.Acquire("one", Online, prompt)
	require.True(t, found)
	set.SetPeerLoads("peer", map[string]PeerLoad{"one": {StartMillis: 1, Online: 2, Batch: 1, PendingTokens: 7}}, 0)
	set.RecordReport(old, Report{Waiting: 5}, now)
	set.Unreachable(old, now)
	before := onlyCandidate(t, set, prompt)
	require.Equal(t, 3, before.Online)
	require.Equal(t, 5, before.Waiting)
	require.True(t, before.Ejected)
	require.Equal(t, 10, before.UncachedTokens)

	require.Equal(t, ListingRestarted, set.Put(instanceStartedAt(2)))
	after := onlyCandidate(t, set, prompt)
	after.ReportAge = 0
	require.Equal(t, routing.Candidate{ID: "one", StartMillis: 2, Slots: 4, UncachedTokens: 110}, after)
	require.Empty(t, set.OwnLoads())
	lease.Started()
	lease.Release()
	require.Zero(t, onlyCandidate(t, set, prompt).Online, "a lease of the previous incarnation must not count")
	require.Zero(t, onlyCandidate(t, set, prompt).PendingTokens)
	require.EqualValues(t, 1, lease.Instance().StartMillis)
}

// TestStaleReportsAreIgnored checks that whatever is reported about an ended incarnation
// has no effect on its successor.
func TestStaleReportsAreIgnored(t *testing.T) {
	set, now := NewSet(), time.Now()
	prompt := []routing.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	set.Put(instanceStartedAt(1))
	set.Put(instanceStartedAt(2))
	old := instanceStartedAt(1).Incarnation()
	set.Unreachable(old, now)
	for range failuresToEject + scoreToEject {
		require.False(t, set.Failed(old, now))
	}
	require.Empty(t, set.TakeUnsentFailures())
	set.RecordPeerFailures(map[Incarnation]int{old: 9}, now)
	set.RecordPeerPromptReads([]PromptRead{{Incarnation: old, Part: "shared"}}, now)
	set.RecordReport(old, Report{Waiting: 5}, now)
	set.SetPeerLoads("peer", map[string]PeerLoad{"one": {StartMillis: 1, Online: 2}}, 0)
	set.RemoveIncarnation(old)
	_, found := set.AcquireIncarnation(old, Online, nil)
	require.False(t, found)
	require.False(t, set.IsListed(old))
	require.True(t, set.HasSuccessor(old))
	require.Equal(t, ListingStale, set.Put(instanceStartedAt(1)))
	left := onlyCandidate(t, set, prompt)
	left.ReportAge = 0
	require.Equal(t, routing.Candidate{ID: "one", StartMillis: 2, Slots: 4, UncachedTokens: 110}, left)
}

// TestStaleEntryAfterRemoval checks that a stale entry doesn't list a removed backend
// again.
func TestStaleEntryAfterRemoval(t *testing.T) {
	set := NewSet()
	set.Put(instanceStartedAt(2))
	set.Remove("one")
	require.Equal(t, ListingStale, set.Put(instanceStartedAt(1)))
	require.Equal(t, ListingStale, set.Put(instanceStartedAt(0)))
	require.Zero(t, set.Count("s"))
	require.Equal(t, ListingNew, set.Put(instanceStartedAt(2)), "an expired entry may be listed again")
	require.Equal(t, 1, set.Count("s"))
}

// TestEntryWithoutStartTime checks that an entry without a start time is no new
// incarnation if the start time is known.
func TestEntryWithoutStartTime(t *testing.T) {
	set := NewSet()
	set.Put(instanceStartedAt(2))
	leaving := instanceStartedAt(0)
	leaving.Draining = true
	require.Equal(t, ListingSame, set.Put(leaving))
	got, _ := set.Get("one")
	require.True(t, got.Draining)
	require.EqualValues(t, 2, got.StartMillis)
	elsewhere := instanceStartedAt(0)
	elsewhere.Address = "127.0.0.1:2"
	require.Equal(t, ListingStale, set.Put(elsewhere))
	got, _ = set.Get("one")
	require.Equal(t, "127.0.0.1:1", got.Address)
}

// TestBackendsWithoutStartTime checks that a backend without a start time is one
// incarnation as long as it is listed.
func TestBackendsWithoutStartTime(t *testing.T) {
	set := NewSet()
	require.Equal(t, ListingNew, set.Put(instanceStartedAt(0)))
	_, found := set.Acquire("one", Online, nil)
	require.True(t, found)
	require.Equal(t, ListingSame, set.Put(instanceStartedAt(0)))
	require.Equal(t, 1, onlyCandidate(t, set, nil).Online)
	set.Remove("one")
	require.Equal(t, ListingNew, set.Put(instanceStartedAt(0)))
	require.Equal(t, ListingRestarted, set.Put(instanceStartedAt(3)), "an entry with a start time may be another process")
}

// TestStartTimesAreBounded checks that the stored start times of removed backends are
// limited.
func TestStartTimesAreBounded(t *testing.T) {
	startTimes := newStartTimes()
	for index := range 3 * maxStartTimes {
		startTimes.record(Incarnation{ID: strconv.Itoa(index), StartMillis: 1})
	}
	require.LessOrEqual(t, len(startTimes.newer)+len(startTimes.older), 2*maxStartTimes)
	require.EqualValues(t, 1, startTimes.newest(strconv.Itoa(3*maxStartTimes-1)))
}

// TestPeerLoadsOfTwoIncarnations checks that loads at different incarnations aren't added:
// the later one's load counts.
func TestPeerLoadsOfTwoIncarnations(t *testing.T) {
	old, current := PeerLoad{StartMillis: 1, Online: 3, Batch: 1}, PeerLoad{StartMillis: 2, Online: 1, PendingTokens: 5}
	require.Equal(t, current, old.Plus(current))
	require.Equal(t, current, current.Plus(old))
	require.Equal(t, current, current.Minus(old))
	require.Equal(t, PeerLoad{StartMillis: 2}, current.Minus(current))
	require.True(t, current.Minus(current).IsIdle())
	require.Equal(t, PeerLoad{StartMillis: 2, Online: 2, PendingTokens: 10}, current.Plus(current))
}

// incarnationModel is the expected state of a set with one backend: the listed incarnation
// with its leases and peer loads.
type incarnationModel struct {
	set        *Set
	startTimes []int64
	leases     []modelLease
	peers      map[string]PeerLoad
	listed     int64
}

// modelLease is a lease, the start of its incarnation and whether that has ended. It counts
// whenever that incarnation is listed, also after its entry went and came back.
type modelLease struct {
	lease       *Lease
	startMillis int64
	isEnded     bool
}

// TestReportsInAnyOrder checks that in any order of entries and reports, the listed
// incarnation has the latest start time and counts only its own requests.
func TestReportsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &incarnationModel{set: NewSet(), peers: map[string]PeerLoad{}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			model.step(t)
			model.check(t)
		}
	})
}

func (m *incarnationModel) step(t *rapid.T) {
	startMillis := rapid.Int64Range(1, 4).Draw(t, "start")
	incarnation := instanceStartedAt(startMillis).Incarnation()
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		m.put(startMillis)
	case 1:
		if lease, found := m.set.AcquireIncarnation(incarnation, Online, nil); found {
			m.leases = append(m.leases, modelLease{lease: lease, startMillis: startMillis})
		}
	case 2:
		if len(m.leases) > 0 {
			at := rapid.IntRange(0, len(m.leases)-1).Draw(t, "lease")
			m.leases[at].lease.Release()
			m.leases = slices.Delete(m.leases, at, at+1)
		}
	case 3:
		m.setPeerLoad(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"), PeerLoad{StartMillis: startMillis, Online: rapid.IntRange(1, 3).Draw(t, "online")})
	case 4:
		m.set.RemoveIncarnation(incarnation)
		if m.listed == startMillis {
			m.unlist()
		}
		m.endLeases(func(start int64) bool { return start == startMillis })
	case 5:
		m.set.Remove("one")
		m.unlist()
	case 6:
		m.put(0)
	}
}

func (m *incarnationModel) put(startMillis int64) {
	m.set.Put(instanceStartedAt(startMillis))
	isNewest := startMillis > 0 && (len(m.startTimes) == 0 || startMillis >= slices.Max(m.startTimes))
	switch {
	case startMillis == 0 && len(m.startTimes) > 0, startMillis > 0 && !isNewest:
		return
	case startMillis > 0:
		m.startTimes = append(m.startTimes, startMillis)
	}
	if m.listed != startMillis {
		m.unlist()
	}
	m.listed = startMillis
	m.endLeases(func(start int64) bool { return start != startMillis })
}

// unlist drops the peer loads at a backend that is no longer listed.
func (m *incarnationModel) unlist() {
	m.listed = -1
	m.peers = map[string]PeerLoad{}
}

// endLeases ends the leases of incarnations that have ended, by their start.
func (m *incarnationModel) endLeases(hasEnded func(startMillis int64) bool) {
	for index := range m.leases {
		if hasEnded(m.leases[index].startMillis) {
			m.leases[index].isEnded = true
		}
	}
}

func (m *incarnationModel) setPeerLoad(peer string, load PeerLoad) {
	m.set.SetPeerLoads(peer, map[string]PeerLoad{"one": load}, 0)
	delete(m.peers, peer)
	if load.StartMillis == m.listed {
		m.peers[peer] = load
	}
}

func (m *incarnationModel) check(t *rapid.T) {
	got, isListed := m.set.Get("one")
	if len(m.startTimes) > 0 {
		require.True(t, !isListed || got.StartMillis == slices.Max(m.startTimes), "the listed incarnation must have the latest start time")
	}
	if !isListed {
		return
	}
	require.Equal(t, m.listed, got.StartMillis)
	online := 0
	for _, counted := range m.leases {
		if !counted.isEnded && counted.startMillis == m.listed {
			online++
		}
	}
	for _, load := range m.peers {
		online += load.Online
	}
	require.Equal(t, online, onlyCandidate(t, m.set, nil).Online)
}
