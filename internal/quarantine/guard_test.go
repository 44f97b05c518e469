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

// fleet holds guards that exchange notices, and the rows of their store.
type fleet struct {
	guards []*Guard
	rows   map[string][]byte
	// stagger is the time that a member waits before it withdraws excused evidence; nil means none.
	stagger func() time.Duration
	// withdrawals counts the notices that withdraw evidence.
	withdrawals int
}

// member is the publisher of one guard.
type member struct {
	fleet *fleet
	index int
}

func (m member) Publish(notice Notice) {
	for _, each := range notice.Evidence {
		content, err := encodeEvidence(each)
		if err != nil {
			panic(err)
		}
		m.fleet.rows[RowKey{Fingerprint: each.Fingerprint, Instance: each.Instance}.String()] = content
	}
	m.Notify(notice)
}

func (m member) Notify(notice Notice) {
	m.fleet.withdrawals += len(notice.Cleared)
	content, err := EncodeNotice(notice)
	if err != nil {
		panic(err)
	}
	received, err := DecodeNotice(content)
	if err != nil {
		panic(err)
	}
	for index, guard := range m.fleet.guards {
		if index != m.index {
			guard.Receive(received, SourcePeer)
		}
	}
}

func (m member) Withdraw(keys []RowKey) {
	for _, key := range keys {
		delete(m.fleet.rows, key.String())
	}
}

func (m member) Stagger() time.Duration {
	if m.fleet.stagger == nil {
		return 0
	}
	return m.fleet.stagger()
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

// stored returns the rows that a starting daemon reads.
func (f *fleet) stored() []table.Row {
	rows := []table.Row{}
	for key, value := range f.rows {
		rows = append(rows, table.Row{Table: TableName, Key: key, Value: value})
	}
	return rows
}

func (f *fleet) quarantined(fingerprint Fingerprint) int {
	count := 0
	for _, guard := range f.guards {
		if _, isQuarantined := guard.Verdict(fingerprint, nil); isQuarantined {
			count++
		}
	}
	return count
}

// crash lets backends crash under a request, each observed by another daemon.
func (f *fleet) crash(fingerprint Fingerprint, count int) {
	for number := range count {
		f.guards[number%len(f.guards)].Crashed(fmt.Sprintf("i%d", number), []Run{{Fingerprint: fingerprint}})
	}
}

// TestAllDaemonsQuarantine guards against a daemon without the quarantine, also one that
// starts later and reads the store.
func TestAllDaemonsQuarantine(t *testing.T) {
	f, culprit := newFleet(5), numbered(1)
	f.crash(culprit, 3)
	require.Equal(t, 5, f.quarantined(culprit))
	late := f.add()
	late.Replace(f.stored(), 1)
	_, isQuarantined := late.Verdict(culprit, nil)
	require.True(t, isQuarantined)
}

// TestSuccessLiftsQuarantine checks that a success clears all daemons and the store.
func TestSuccessLiftsQuarantine(t *testing.T) {
	f, innocent := newFleet(4), numbered(1)
	f.crash(innocent, 3)
	require.Equal(t, 4, f.quarantined(innocent))
	f.guards[2].Succeeded(innocent)
	require.Zero(t, f.quarantined(innocent))
	require.Empty(t, f.rows)
}

// TestRecentSuccessExcusesSimultaneousCrashes guards against the quarantine of a popular
// request that was in flight at six backends when these crashed together.
func TestRecentSuccessExcusesSimultaneousCrashes(t *testing.T) {
	f, popular := newFleet(4), numbered(1)
	f.guards[1].Succeeded(popular)
	f.crash(popular, 6)
	require.Zero(t, f.quarantined(popular))
	require.Empty(t, f.rows)
}

// TestSuccessesExpire checks that old successes excuse nothing: the model may have changed.
func TestSuccessesExpire(t *testing.T) {
	known, popular, start := newSuccesses(), numbered(1), boottime.Now()
	known.record(popular, start)
	require.True(t, known.has(popular, start.Add(successTime-time.Millisecond)))
	require.False(t, known.has(popular, start.Add(2*successTime)))
	for number := range 10 * maxSuccesses {
		known.record(numbered(number), start)
	}
	require.LessOrEqual(t, len(known.newer)+len(known.older), 2*maxSuccesses)
}

// TestSuccessesExpireDuringSleep checks that the age of a success includes the time while
// the machine is suspended.
func TestSuccessesExpireDuringSleep(t *testing.T) {
	for span, isQuarantined := range map[time.Duration]bool{time.Second: false, 5 * time.Second: false, 2 * successTime: true, time.Minute: true} {
		t.Run(span.String(), func(t *testing.T) {
			f, content, slept := newFleet(3), numbered(1), time.Duration(0)
			f.guards[1].Clock = func() boottime.Instant { return boottime.Now().Add(slept) }
			f.guards[1].Succeeded(content)
			slept = span
			f.crash(content, 3)
			require.Equal(t, isQuarantined, f.quarantined(content) == 3)
		})
	}
}

func TestOperatorLiftsQuarantine(t *testing.T) {
	f, innocent := newFleet(3), numbered(1)
	f.crash(innocent, 3)
	require.True(t, f.guards[1].Lift(innocent))
	require.False(t, f.guards[1].Lift(innocent))
	require.Zero(t, f.quarantined(innocent))
	require.Empty(t, f.rows)
}

// TestRemovedRowsClearEvidence covers a daemon that did not receive the notice.
func TestRemovedRowsClearEvidence(t *testing.T) {
	f, innocent := newFleet(1), numbered(1)
	f.crash(innocent, 3)
	other := newFleet(1).guards[0]
	rows := f.stored()
	other.Replace(rows, 1)
	_, isQuarantined := other.Verdict(innocent, nil)
	require.True(t, isQuarantined)
	for index := range rows {
		rows[index].Deleted, rows[index].Value = true, nil
	}
	other.Change(rows, 2)
	_, isQuarantined = other.Verdict(innocent, nil)
	require.False(t, isQuarantined)
}

func TestUnreadableEvidenceIsSkipped(t *testing.T) {
	guard := newFleet(1).guards[0]
	guard.Change([]table.Row{{Key: "x", Value: []byte("y")}, {Key: "z/1", Deleted: true}}, 1)
	require.Empty(t, guard.Verdicts())
	_, err := DecodeNotice([]byte{1, 2, 3})
	require.Error(t, err)
}
