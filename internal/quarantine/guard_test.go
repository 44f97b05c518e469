package quarantine

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// fleet is guards that tell each other everything, and a store that all follow.
type fleet struct {
	guards []*Guard
	rows   map[string][]byte
}

// member spreads what one guard has learnt.
type member struct {
	fleet *fleet
	index int
}

func (m member) Spread(notice Notice) {
	for _, each := range notice.Evidence {
		content, err := encodeEvidence(each)
		if err != nil {
			panic(err)
		}
		m.fleet.rows[RowKey{Fingerprint: each.Fingerprint, Instance: each.Instance}.String()] = content
	}
	m.Tell(notice)
}

func (m member) Tell(notice Notice) {
	content, err := EncodeNotice(notice)
	if err != nil {
		panic(err)
	}
	told, err := DecodeNotice(content)
	if err != nil {
		panic(err)
	}
	for index, guard := range m.fleet.guards {
		if index != m.index {
			guard.Receive(told, SourcePeer)
		}
	}
}

func (m member) Withdraw(keys []RowKey) {
	for _, key := range keys {
		delete(m.fleet.rows, key.String())
	}
}

func (f *fleet) add() *Guard {
	guard := NewGuard(testPolicy, member{fleet: f, index: len(f.guards)}, telemetry.NewQuarantine(prometheus.NewRegistry()), slog.New(slog.DiscardHandler))
	f.guards = append(f.guards, guard)
	return guard
}

func newFleet(count int) *fleet {
	made := &fleet{rows: map[string][]byte{}}
	for range count {
		made.add()
	}
	return made
}

// stored is the table as a daemon that starts reads it.
func (f *fleet) stored() []table.Row {
	rows := []table.Row{}
	for key, value := range f.rows {
		rows = append(rows, table.Row{Table: TableName, Key: key, Value: value})
	}
	return rows
}

func (f *fleet) held(fingerprint Fingerprint) int {
	count := 0
	for _, guard := range f.guards {
		if _, isHeld := guard.Verdict(fingerprint); isHeld {
			count++
		}
	}
	return count
}

// crash has backends end under a request, each seen by another daemon.
func (f *fleet) crash(fingerprint Fingerprint, count int) {
	for number := range count {
		f.guards[number%len(f.guards)].Crashed(fmt.Sprintf("i%d", number), []Run{{Fingerprint: fingerprint}})
	}
}

// TestAllDaemonsDecideAlike: also one that starts later, from the store.
func TestAllDaemonsDecideAlike(t *testing.T) {
	f, culprit := newFleet(5), numbered(1)
	f.crash(culprit, 3)
	require.Equal(t, 5, f.held(culprit))
	late := f.add()
	late.Replace(f.stored(), 1)
	_, isHeld := late.Verdict(culprit)
	require.True(t, isHeld)
}

// TestGoodEndTakesTheQuarantineBack: everywhere and in the store.
func TestGoodEndTakesTheQuarantineBack(t *testing.T) {
	f, innocent := newFleet(4), numbered(1)
	f.crash(innocent, 3)
	require.Equal(t, 4, f.held(innocent))
	f.guards[2].Succeeded(innocent)
	require.Zero(t, f.held(innocent))
	require.Empty(t, f.rows)
}

// TestRequestThatSucceedsElsewhereIsNeverQuarantined: many callers send the same
// request; a wave ends six backends at one moment, and it was in flight at all of
// them.
func TestRequestThatSucceedsElsewhereIsNeverQuarantined(t *testing.T) {
	f, popular := newFleet(4), numbered(1)
	f.guards[1].Succeeded(popular)
	f.crash(popular, 6)
	require.Zero(t, f.held(popular))
	require.Empty(t, f.rows)
}

// TestGoodEndsOfLongAgoProveNothing: a change of the model may turn a request bad.
func TestGoodEndsOfLongAgoProveNothing(t *testing.T) {
	known, popular, start := newSuccesses(), numbered(1), boottime.Now()
	known.note(popular, start)
	require.True(t, known.has(popular, start.Add(successTime-time.Millisecond)))
	require.False(t, known.has(popular, start.Add(2*successTime)))
	for number := range 10 * maxSuccesses {
		known.note(numbered(number), start)
	}
	require.LessOrEqual(t, len(known.newer)+len(known.older), 2*maxSuccesses)
}

// TestGoodEndsBeforeASleepProveNothing: the machine of a daemon that saw a good end
// sleeps, and when it wakes the request ends backends under it. It saw the good end a
// minute ago, and only its own steady clock says that this was just now.
func TestGoodEndsBeforeASleepProveNothing(t *testing.T) {
	for span, isHeld := range map[time.Duration]bool{time.Second: false, 5 * time.Second: false, 2 * successTime: true, time.Minute: true} {
		t.Run(span.String(), func(t *testing.T) {
			f, content, slept := newFleet(3), numbered(1), time.Duration(0)
			f.guards[1].Clock = func() boottime.Instant { return boottime.Now().Add(slept) }
			f.guards[1].Succeeded(content)
			slept = span
			f.crash(content, 3)
			require.Equal(t, isHeld, f.held(content) == 3)
		})
	}
}

func TestLiftByHand(t *testing.T) {
	f, innocent := newFleet(3), numbered(1)
	f.crash(innocent, 3)
	require.True(t, f.guards[1].Lift(innocent))
	require.False(t, f.guards[1].Lift(innocent))
	require.Zero(t, f.held(innocent))
	require.Empty(t, f.rows)
}

// TestRemovedRowsReachDaemonsThatWereNotTold: datagrams are lost now and then.
func TestRemovedRowsReachDaemonsThatWereNotTold(t *testing.T) {
	f, innocent := newFleet(1), numbered(1)
	f.crash(innocent, 3)
	other := newFleet(1).guards[0]
	rows := f.stored()
	other.Replace(rows, 1)
	_, isHeld := other.Verdict(innocent)
	require.True(t, isHeld)
	for index := range rows {
		rows[index].Deleted, rows[index].Value = true, nil
	}
	other.Change(rows, 2)
	_, isHeld = other.Verdict(innocent)
	require.False(t, isHeld)
}

func TestUnreadableEvidenceIsPassedOver(t *testing.T) {
	guard := newFleet(1).guards[0]
	guard.Change([]table.Row{{Key: "x", Value: []byte("y")}, {Key: "z/1", Deleted: true}}, 1)
	require.Empty(t, guard.Verdicts())
	_, err := DecodeNotice([]byte{1, 2, 3})
	require.Error(t, err)
}
