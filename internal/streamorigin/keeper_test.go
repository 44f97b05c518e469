package streamorigin

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/telemetry"
)

// fleet is a set of keepers that are each other's peers.
type fleet struct {
	mutex   sync.Mutex
	keepers []*Keeper
	sets    []*backend.Set
	lists   []*testList
	// isEnded holds the daemons that don't answer.
	isEnded map[int]bool
	// isBroken is set if daemons are missing.
	isBroken bool
	copied   int
}

// testList is the list of one daemon of a fleet. mutex guards listState.
type testList struct {
	mutex sync.Mutex
	listState
}

// listState is what a list answers.
type listState struct {
	// covers is set if the history is complete, isServed if the store answers.
	covers, isServed, isSection bool
	generation                  uint64
	configuration               int64
	age                         time.Duration
}

func (l *testList) set(change func(*testList)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change(l)
}

func (l *testList) state() listState {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.listState
}

func (l *testList) Age() time.Duration           { return l.state().age }
func (l *testList) Confirm(context.Context) bool { return l.state().isServed }
func (l *testList) Covers() bool                 { return l.state().covers }
func (l *testList) IsSection() bool              { return l.state().isSection }
func (l *testList) Generation() uint64           { return l.state().generation }
func (l *testList) Configuration() int64         { return l.state().configuration }

func (l *testList) Extend(generation uint64) {
	l.set(func(l *testList) { l.covers = l.covers || generation == l.generation })
}

// fleetPeers are the peers of one daemon of a fleet.
type fleetPeers struct {
	fleet *fleet
	self  int
}

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	made := &fleet{isEnded: map[int]bool{}}
	for self := range count {
		set := backend.NewSet()
		made.sets = append(made.sets, set)
		known := &testList{listState: listState{covers: true, isServed: true}}
		made.lists = append(made.lists, known)
		made.keepers = append(made.keepers, NewKeeper(set, known, fleetPeers{fleet: made, self: self}, telemetry.NewServing(prometheus.NewRegistry()), slog.New(slog.DiscardHandler)))
	}
	return made
}

// list lists a backend at all daemons.
func (f *fleet) list(id, version string) {
	for _, each := range f.sets {
		each.Put(backend.Instance{ID: id, Service: service, Version: version, Slots: 4})
	}
}

// others returns the keepers of other daemons that answer.
func (p fleetPeers) others(count int) []*Keeper {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	found := []*Keeper{}
	for index, each := range p.fleet.keepers {
		if index != p.self && !p.fleet.isEnded[index] && len(found) < count {
			found = append(found, each)
		}
	}
	return found
}

func (p fleetPeers) Copy(_ context.Context, record Record, count int, acknowledged chan<- struct{}) int {
	chosen := p.others(count)
	for _, each := range chosen {
		each.Accept([]Record{record})
		p.fleet.mutex.Lock()
		p.fleet.copied++
		p.fleet.mutex.Unlock()
		acknowledged <- struct{}{}
	}
	return len(chosen)
}

func (p fleetPeers) Ask(_ context.Context, query Query, count int, answers chan<- Answer) int {
	chosen := p.others(count)
	for _, each := range chosen {
		answers <- each.Answer(query)
	}
	return len(chosen)
}

func (p fleetPeers) AskHistory(ctx context.Context, mustConfirm bool, count int, answers chan<- History) int {
	chosen := p.others(count)
	for _, each := range chosen {
		answers <- each.AnswerHistory(ctx, mustConfirm)
	}
	return len(chosen)
}

func (p fleetPeers) Fleet() Fleet {
	p.fleet.mutex.Lock()
	defer p.fleet.mutex.Unlock()
	return Fleet{Members: len(p.fleet.keepers), IsWhole: !p.fleet.isBroken}
}

// find searches for the origin of a stream at a daemon.
func (f *fleet) find(daemon int, key Key) Result {
	return f.keepers[daemon].Find(context.Background(), Query{Key: key, Service: service}, func() bool { return false })
}

func (f *fleet) begin(daemon int, id, software string) Key {
	key := KeyOf("host", "", id)
	f.keepers[daemon].Began(context.Background(), key, Origin{Service: service, Software: software}, time.Now().Add(time.Minute), false)
	return key
}

func TestOriginIsKnownElsewhereBeforeFirstEvent(t *testing.T) {
	f := newFleet(t, 5)
	f.list("a", "v1")
	f.list("b", "v2")
	key := f.begin(0, "stream", "v2")
	f.isEnded[0] = true
	for daemon := 1; daemon < 5; daemon++ {
		found := f.find(daemon, key)
		require.Equal(t, FindingRecord, found.Finding)
		require.Equal(t, "v2", found.Origin.Software)
	}
}

func TestNothingIsCopiedWhileThereIsOneVersion(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	f.list("b", "v1")
	key := f.begin(0, "stream", "v1")
	require.Zero(t, f.copied)
	f.isEnded[0] = true
	found := f.find(1, key)
	require.Equal(t, FindingOnlyVersion, found.Finding)
	require.Equal(t, "v1", found.Origin.Software)
}

func TestDaemonThatJustStartedCopiesOrigins(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	f.lists[0].set(func(l *testList) { l.covers = false })
	f.begin(0, "stream", "v1")
	require.Equal(t, 2, f.copied)
}

func TestOriginsAreCopiedWhenSecondVersionAppears(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	key := f.begin(0, "stream", "v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.keepers[0].Run(ctx)
	f.list("b", "v2")
	require.Eventually(t, func() bool {
		return f.keepers[1].Answer(Query{Key: key, Service: service}).HasRecord
	}, 10*time.Second, time.Millisecond)
}

func TestVersionThatLeftIsStillRemembered(t *testing.T) {
	f := newFleet(t, 2)
	f.list("a", "v1")
	f.list("b", "v2")
	for _, each := range f.sets {
		each.Remove("b")
	}
	found := f.find(1, KeyOf("host", "", "lost"))
	require.Equal(t, FindingUnknown, found.Finding)
}

// Guards against beliefs of daemons that agree because none of them is up to date.
func TestAgreementIsNoEvidence(t *testing.T) {
	key := KeyOf("host", "", "lost")
	for name, each := range map[string]struct {
		change   func(l *testList)
		evidence Evidence
	}{
		"up to date":             {func(*testList) {}, EvidenceOwnList},
		"the store is silent":    {func(l *testList) { l.isServed = false }, EvidenceNone},
		"versions may be missed": {func(l *testList) { l.covers = false }, EvidenceNone},
		"a standstill is over":   {func(l *testList) { l.age = time.Minute }, EvidenceOwnList},
		"sections":               {func(l *testList) { l.isSection = true }, EvidenceSections},
		"sections just read":     {func(l *testList) { l.isSection, l.covers = true, false }, EvidenceNone},
		"sections, no store":     {func(l *testList) { l.isSection, l.isServed = true, false }, EvidenceNone},
	} {
		f := newFleet(t, 3)
		f.isBroken = true
		f.list("a", "v1")
		for _, known := range f.lists {
			known.set(each.change)
		}
		found := f.find(0, key)
		require.Equal(t, each.evidence, found.Evidence, name)
		require.Equal(t, each.evidence != EvidenceNone, found.Finding.IsKnown(), name)
	}
}

// Guards against streams that go on at a daemon's only version while another daemon knows more,
// and against callers that a daemon refuses although another one is up to date.
func TestEvidenceOfAnotherDaemon(t *testing.T) {
	key := KeyOf("host", "", "lost")
	f := newFleet(t, 2)
	f.list("a", "v1")
	f.lists[0].set(func(l *testList) { l.covers, l.isServed = false, false })
	require.Equal(t, Result{Origin: Origin{service, "v1"}, Finding: FindingOnlyVersion, Asked: 1, Answered: 1, Evidence: EvidencePeer, Opinion: Opinion{OpinionOne, "v1"}}, f.find(0, key))
	f.lists[0].set(func(l *testList) { l.configuration = 1 })
	require.Equal(t, FindingUnproven, f.find(0, key).Finding, "the routes may lead elsewhere")
	f.lists[0].set(func(l *testList) { l.configuration = 0 })
	f.sets[1].Put(backend.Instance{ID: "b", Service: service, Version: "v2", Slots: 4})
	require.Equal(t, FindingUnknown, f.find(0, key).Finding)
	further := f.keepers[0].prove(context.Background(), service, true).further
	require.ElementsMatch(t, []string{"v1", "v2"}, further)
}

// Guards against callers who are refused because the store is away, and against a fleet that is
// taken for whole although a daemon is missing, has just started or runs another configuration.
func TestWholeFleetIsEvidence(t *testing.T) {
	key := KeyOf("host", "", "lost")
	for name, each := range map[string]struct {
		change   func(f *fleet)
		evidence Evidence
	}{
		"the store is away": {func(*fleet) {}, EvidenceFleet},
		"histories have gaps, daemons run for long": {func(f *fleet) {
			for index, each := range f.keepers {
				each.startedAt = time.Now().Add(-backend.SoftwareWindow)
				f.lists[index].covers = false
			}
		}, EvidenceFleet},
		"a daemon is missing":         {func(f *fleet) { f.isBroken = true }, EvidenceNone},
		"a daemon does not answer":    {func(f *fleet) { f.isEnded[2] = true }, EvidenceNone},
		"a daemon has just started":   {func(f *fleet) { f.lists[2].covers = false }, EvidenceNone},
		"this one has just started":   {func(f *fleet) { f.lists[0].covers = false }, EvidenceNone},
		"another configuration there": {func(f *fleet) { f.lists[2].configuration = 1 }, EvidenceNone},
	} {
		f := newFleet(t, 3)
		f.list("a", "v1")
		for _, known := range f.lists {
			known.isServed = false
		}
		each.change(f)
		found := f.find(0, key)
		require.Equal(t, each.evidence, found.Evidence, name)
		require.Equal(t, each.evidence != EvidenceNone, found.Finding.IsKnown(), name)
	}
	f := newFleet(t, 8)
	f.list("a", "v1")
	for _, known := range f.lists {
		known.isServed = false
	}
	one := newFleet(t, 1)
	one.list("a", "v1")
	one.lists[0].isServed = false
	require.Equal(t, FindingUnproven, one.find(0, key).Finding, "a daemon that knows no other one may have started behind a cut")
	f.sets[7].Put(backend.Instance{ID: "b", Service: service, Version: "v2", Slots: 4})
	require.Equal(t, FindingUnknown, f.find(0, key).Finding, "one that was not asked for the record knows another version")
}

func TestOriginsAreCopiedWhenListIsNoLongerCertain(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	key := f.begin(0, "stream", "v1")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.keepers[0].Run(ctx)
	time.Sleep(2 * certaintyInterval)
	require.False(t, f.keepers[1].Answer(Query{Key: key, Service: service}).HasRecord)
	f.lists[0].set(func(l *testList) { l.age = maxCertainAge })
	require.Eventually(t, func() bool { return f.keepers[1].Answer(Query{Key: key, Service: service}).HasRecord }, 10*time.Second, time.Millisecond)
}

// Guards against daemons that start one by one and never learn which versions were listed before.
func TestHistoryIsCompletedFromAnotherDaemon(t *testing.T) {
	f := newFleet(t, 2)
	f.list("a", "v1")
	f.sets[1].Put(backend.Instance{ID: "b", Service: service, Version: "v2", Slots: 4})
	f.sets[1].Remove("b")
	f.lists[0].set(func(l *testList) { l.covers = false })
	f.lists[1].set(func(l *testList) { l.isServed = false })
	f.keepers[0].completeHistory(context.Background())
	require.False(t, f.lists[0].Covers(), "the other list is not up to date")
	f.lists[1].set(func(l *testList) { l.isServed = true })
	f.keepers[0].completeHistory(context.Background())
	require.True(t, f.lists[0].Covers())
	require.Equal(t, OpinionSeveral, f.keepers[0].opinion(service).Kind)
}

// Guards against callers that fill a daemon's memory with ids and deadlines of their choice.
func TestRecordsAreBounded(t *testing.T) {
	kept, now := newRecords(), time.Now()
	for index := range 2 * maxRecords {
		kept.put(Record{Key: KeyOf("host", "", fmt.Sprint(index)), Expires: expiryOf(now.Add(time.Hour), now)}, false, now)
	}
	require.LessOrEqual(t, kept.count(), maxRecords)
	require.LessOrEqual(t, len(kept.order), 4*maxRecords)
	kept.put(Record{Key: KeyOf("host", "", "last"), Expires: now.Add(2 * maxRecordTime)}, false, now.Add(maxRecordTime))
	require.Equal(t, 1, kept.count())
}

func TestStreamsOfOneKeyAreNotResumed(t *testing.T) {
	kept, now := newRecords(), time.Now()
	key := KeyOf("host", "tenant", "id")
	kept.put(Record{Key: key, Origin: Origin{service, "v1"}, Expires: now.Add(time.Minute)}, false, now)
	kept.put(Record{Key: key, Origin: Origin{service, "v2"}, Expires: now.Add(time.Minute)}, false, now)
	found, isKnown := kept.get(key, now)
	require.True(t, isKnown)
	require.True(t, found.isConflicting)
	require.NotEqual(t, key, KeyOf("host", "", "id"))
	require.NotEqual(t, key, KeyOf("other", "tenant", "id"))
}

func TestRecordThatNobodyTookIsCopiedLater(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	f.list("b", "v2")
	f.isEnded[1], f.isEnded[2] = true, true
	key := f.begin(0, "stream", "v1")
	f.isEnded = map[int]bool{}
	f.keepers[0].CopyAll(context.Background())
	require.True(t, f.keepers[1].Answer(Query{Key: key, Service: service}).HasRecord)
}

func BenchmarkRecordsOfFullDaemon(b *testing.B) {
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		kept := newRecords()
		for index := range maxRecords {
			kept.put(Record{Key: KeyOf("host", "", fmt.Sprint(index)), Origin: Origin{service, "v1"}, Expires: now.Add(maxRecordTime)}, false, now)
		}
	}
}

// Guards against callers refused without evidence although the daemon that serves their stream, not
// among the first that are asked, has the record.
func TestRecordIsSoughtWidelyWithoutEvidence(t *testing.T) {
	f := newFleet(t, 9)
	f.list("a", "v1")
	key := f.begin(8, "stream", "v1")
	require.Zero(t, f.copied)
	for _, each := range f.lists {
		each.set(func(l *testList) { l.isServed = false })
	}
	f.isBroken = true
	found := f.find(0, key)
	require.Equal(t, FindingRecord, found.Finding)
	require.Equal(t, Origin{Service: service, Software: "v1"}, found.Origin)
	require.Equal(t, FindingUnproven, f.find(0, KeyOf("host", "", "other")).Finding)
}
