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
	// isEnded holds the daemons that don't answer.
	isEnded map[int]bool
	copied  int
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
		made.keepers = append(made.keepers, NewKeeper(set, nil, fleetPeers{fleet: made, self: self}, telemetry.NewServing(prometheus.NewRegistry()), slog.New(slog.DiscardHandler)))
		made.keepers[self].settledAt = time.Now()
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
		found := f.keepers[daemon].Find(context.Background(), Query{Key: key, Service: service}, false)
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
	found := f.keepers[1].Find(context.Background(), Query{Key: key, Service: service}, false)
	require.Equal(t, FindingOnlyVersion, found.Finding)
	require.Equal(t, "v1", found.Origin.Software)
}

func TestDaemonThatJustStartedCopiesOrigins(t *testing.T) {
	f := newFleet(t, 3)
	f.list("a", "v1")
	f.keepers[0].settledAt = time.Now().Add(time.Minute)
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
	found := f.keepers[1].Find(context.Background(), Query{Key: KeyOf("host", "", "lost"), Service: service}, false)
	require.Equal(t, FindingUnknown, found.Finding)
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
