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

// reborn is a backend at a birth.
func reborn(born int64) Instance {
	return Instance{ID: "one", StartMillis: born, Service: "s", Address: "127.0.0.1:1", Slots: 4}
}

// only returns the one candidate of the test's service.
func only(t require.TestingT, set *Set, prompt []routing.PromptPart) routing.Candidate {
	candidates := set.Candidates("s", prompt, time.Now())
	require.Len(t, candidates, 1)
	return candidates[0]
}

// TestNewLifeStartsWithNothing: own and others' counts, what the backend reported,
// its prompts and its failures were of the process before.
func TestNewLifeStartsWithNothing(t *testing.T) {
	set, now := NewSet(), time.Now()
	prompt := []routing.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	require.Equal(t, ListingNew, set.Put(reborn(1)))
	old := reborn(1).Incarnation()
	lease, found := set.Acquire("one", Online, prompt)
	require.True(t, found)
	set.SetPeerLoads("peer", map[string]PeerLoad{"one": {StartMillis: 1, Online: 2, Batch: 1, PendingTokens: 7}}, 0)
	set.RecordReport(old, Report{Waiting: 5}, now)
	set.Unreachable(old, now)
	before := only(t, set, prompt)
	require.Equal(t, 3, before.Online)
	require.Equal(t, 5, before.Waiting)
	require.True(t, before.Ejected)
	require.Equal(t, 10, before.UncachedTokens)

	require.Equal(t, ListingRestarted, set.Put(reborn(2)))
	after := only(t, set, prompt)
	after.ReportAge = 0
	require.Equal(t, routing.Candidate{ID: "one", StartMillis: 2, Slots: 4, UncachedTokens: 110}, after)
	require.Empty(t, set.OwnLoads())
	lease.Started()
	lease.Release()
	require.Zero(t, only(t, set, prompt).Online, "a lease of the life before counts nothing")
	require.Zero(t, only(t, set, prompt).PendingTokens)
	require.EqualValues(t, 1, lease.Instance().StartMillis)
}

// TestLateWordsOfALifeThatHasEnded: whatever is still said of it changes nothing.
func TestLateWordsOfALifeThatHasEnded(t *testing.T) {
	set, now := NewSet(), time.Now()
	prompt := []routing.PromptPart{{ID: "shared", Tokens: 100}, {ID: "own", Tokens: 10}}
	set.Put(reborn(1))
	set.Put(reborn(2))
	old := reborn(1).Incarnation()
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
	require.Equal(t, ListingStale, set.Put(reborn(1)))
	left := only(t, set, prompt)
	left.ReportAge = 0
	require.Equal(t, routing.Candidate{ID: "one", StartMillis: 2, Slots: 4, UncachedTokens: 110}, left)
}

// TestBirthsOnlyRiseOverAnAbsence: an entry that went and comes back in an older
// state names no backend.
func TestBirthsOnlyRiseOverAnAbsence(t *testing.T) {
	set := NewSet()
	set.Put(reborn(2))
	set.Remove("one")
	require.Equal(t, ListingStale, set.Put(reborn(1)))
	require.Equal(t, ListingStale, set.Put(reborn(0)))
	require.Zero(t, set.Count("s"))
	require.Equal(t, ListingNew, set.Put(reborn(2)), "its entry had lapsed")
	require.Equal(t, 1, set.Count("s"))
}

// TestEntryWithoutBirthBehindOneWithIt names no new life.
func TestEntryWithoutBirthBehindOneWithIt(t *testing.T) {
	set := NewSet()
	set.Put(reborn(2))
	leaving := reborn(0)
	leaving.Draining = true
	require.Equal(t, ListingSame, set.Put(leaving))
	got, _ := set.Get("one")
	require.True(t, got.Draining)
	require.EqualValues(t, 2, got.StartMillis)
	elsewhere := reborn(0)
	elsewhere.Address = "127.0.0.1:2"
	require.Equal(t, ListingStale, set.Put(elsewhere))
	got, _ = set.Get("one")
	require.Equal(t, "127.0.0.1:1", got.Address)
}

// TestBackendsThatTellNoBirth are one life as long as they are listed.
func TestBackendsThatTellNoBirth(t *testing.T) {
	set := NewSet()
	require.Equal(t, ListingNew, set.Put(reborn(0)))
	_, found := set.Acquire("one", Online, nil)
	require.True(t, found)
	require.Equal(t, ListingSame, set.Put(reborn(0)))
	require.Equal(t, 1, only(t, set, nil).Online)
	set.Remove("one")
	require.Equal(t, ListingNew, set.Put(reborn(0)))
	require.Equal(t, ListingRestarted, set.Put(reborn(3)), "whether it is the same process cannot be told")
}

// TestBirthsThatAreRememberedAreBounded.
func TestBirthsThatAreRememberedAreBounded(t *testing.T) {
	remembered := newBirths()
	for index := range 3 * maxBirths {
		remembered.note(Incarnation{ID: strconv.Itoa(index), StartMillis: 1})
	}
	require.LessOrEqual(t, len(remembered.newer)+len(remembered.older), 2*maxBirths)
	require.EqualValues(t, 1, remembered.newest(strconv.Itoa(3*maxBirths-1)))
}

// TestWorkAtTwoLivesIsNotAdded: the sum of what daemons tell is of the latest.
func TestWorkAtTwoLivesIsNotAdded(t *testing.T) {
	old, young := PeerLoad{StartMillis: 1, Online: 3, Batch: 1}, PeerLoad{StartMillis: 2, Online: 1, PendingTokens: 5}
	require.Equal(t, young, old.Plus(young))
	require.Equal(t, young, young.Plus(old))
	require.Equal(t, young, young.Minus(old))
	require.Equal(t, PeerLoad{StartMillis: 2}, young.Minus(young))
	require.True(t, young.Minus(young).IsIdle())
	require.Equal(t, PeerLoad{StartMillis: 2, Online: 2, PendingTokens: 10}, young.Plus(young))
}

// lifeModel is what must hold whatever order words come in: the latest birth of the
// listed backend and what was said of that life alone.
type lifeModel struct {
	set    *Set
	births []int64
	leases []heldLease
	peers  map[string]PeerLoad
	listed int64
}

// heldLease is a lease, and whether the life that it counts at is still listed.
type heldLease struct {
	lease   *Lease
	isEnded bool
}

// TestWordsOfOldAndNewLivesInAnyOrder: the present life has the latest birth that was
// told, and counts what was sent and told of it, nothing else.
func TestWordsOfOldAndNewLivesInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := &lifeModel{set: NewSet(), peers: map[string]PeerLoad{}}
		for range rapid.IntRange(1, 60).Draw(t, "words") {
			model.word(t)
			model.check(t)
		}
	})
}

func (m *lifeModel) word(t *rapid.T) {
	born := rapid.Int64Range(1, 4).Draw(t, "born")
	life := reborn(born).Incarnation()
	switch rapid.IntRange(0, 6).Draw(t, "word") {
	case 0:
		m.put(born)
	case 1:
		if lease, found := m.set.AcquireIncarnation(life, Online, nil); found {
			m.leases = append(m.leases, heldLease{lease: lease})
		}
	case 2:
		if len(m.leases) > 0 {
			at := rapid.IntRange(0, len(m.leases)-1).Draw(t, "lease")
			m.leases[at].lease.Release()
			m.leases = slices.Delete(m.leases, at, at+1)
		}
	case 3:
		m.tell(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer"), PeerLoad{StartMillis: born, Online: rapid.IntRange(1, 3).Draw(t, "online")})
	case 4:
		m.set.RemoveIncarnation(life)
		if m.listed == born {
			m.forget()
		}
	case 5:
		m.set.Remove("one")
		m.forget()
	case 6:
		m.put(0)
	}
}

func (m *lifeModel) put(born int64) {
	m.set.Put(reborn(born))
	isNews := born > 0 && (len(m.births) == 0 || born >= slices.Max(m.births))
	switch {
	case born == 0 && len(m.births) > 0, born > 0 && !isNews:
		return
	case born > 0:
		m.births = append(m.births, born)
	}
	if m.listed != born {
		m.forget()
	}
	m.listed = born
}

// forget drops what was known of a life that is listed no more.
func (m *lifeModel) forget() {
	m.listed = -1
	m.peers = map[string]PeerLoad{}
	for index := range m.leases {
		m.leases[index].isEnded = true
	}
}

func (m *lifeModel) tell(peer string, load PeerLoad) {
	m.set.SetPeerLoads(peer, map[string]PeerLoad{"one": load}, 0)
	delete(m.peers, peer)
	if load.StartMillis == m.listed {
		m.peers[peer] = load
	}
}

func (m *lifeModel) check(t *rapid.T) {
	got, isListed := m.set.Get("one")
	if len(m.births) > 0 {
		require.True(t, !isListed || got.StartMillis == slices.Max(m.births), "the latest birth wins")
	}
	if !isListed {
		return
	}
	require.Equal(t, m.listed, got.StartMillis)
	online := 0
	for _, held := range m.leases {
		if !held.isEnded {
			online++
		}
	}
	for _, load := range m.peers {
		online += load.Online
	}
	require.Equal(t, online, only(t, m.set, nil).Online)
}
