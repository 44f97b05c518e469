package exchange

import (
	"testing"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/slotqueue"
)

// withoutSums is the schema of messages of daemons that tell no sums.
func withoutSums(t *testing.T) avro.Schema {
	record, isRecord := loadSchema.(*avro.RecordSchema)
	require.True(t, isRecord)
	fields := record.Fields()
	require.Equal(t, "sums", fields[len(fields)-1].Name(), "older daemons read what comes before")
	older, err := avro.NewRecordSchema(record.Name(), record.Namespace(), fields[:len(fields)-1])
	require.NoError(t, err)
	return older
}

// TestSumsSurviveTheWire, and messages of daemons that tell none are read as before.
func TestSumsSurviveTheWire(t *testing.T) {
	sent := loads{inFlight: map[string]backend.PeerLoad{"one": {Online: 1}}, waiting: 7,
		queueStats: map[string]slotqueue.Stats{"s": {OnTime: 1, Overdue: 2, FreedSlots: 3}, "other": {Overdue: 4}}}
	payload, err := encode(sent, news{})
	require.NoError(t, err)
	got, _, err := decode(payload)
	require.NoError(t, err)
	require.True(t, sent.equal(got))
	require.Equal(t, sent.queueStats, got.queueStats)

	older := loadMessage{Backends: []backendLoad{{ID: "one", Online: 1}}, Reads: []readRecord{}, Failures: []failureRecord{}, Waiting: 7}
	payload, err = avro.Marshal(withoutSums(t), older)
	require.NoError(t, err)
	got, _, err = decode(payload)
	require.NoError(t, err)
	require.Equal(t, 7, got.waiting)
	require.Equal(t, sent.inFlight, got.inFlight)
	require.Empty(t, got.queueStats)
}

// TestRelaySumsWhatWaits: a daemon is told what waits at all others, and not at itself.
func TestRelaySumsWhatWaits(t *testing.T) {
	told := func(service string, sums slotqueue.Stats) loads {
		return loads{inFlight: map[string]backend.PeerLoad{}, queueStats: map[string]slotqueue.Stats{service: sums}}
	}
	gathered, now := newRelay(), time.Now()
	gathered.noteMember("a", told("s", slotqueue.Stats{OnTime: 1, Overdue: 2, FreedSlots: 3}), news{}, now)
	gathered.noteMember("b", told("s", slotqueue.Stats{OnTime: 10}), news{}, now)
	gathered.noteMember("c", told("other", slotqueue.Stats{Overdue: 5}), news{}, now)
	gathered.noteZone("far", told("s", slotqueue.Stats{OnTime: 100, FreedSlots: 200}), news{}, now)
	total := gathered.fleetTotal()
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 110, FreedSlots: 200}, "other": {Overdue: 5}}, gathered.othersOf("a", total).queueStats)
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 111, Overdue: 2, FreedSlots: 203}}, gathered.othersOf("c", total).queueStats)
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 11, Overdue: 2, FreedSlots: 3}, "other": {Overdue: 5}}, gathered.zoneTotal().queueStats)
	require.False(t, told("s", slotqueue.Stats{Overdue: 1}).isEmpty())
	require.False(t, told("s", slotqueue.Stats{Overdue: 1}).equal(told("s", slotqueue.Stats{Overdue: 2})))
}
