package exchange

import (
	"testing"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/slotqueue"
)

// withoutStats returns the schema of messages of older daemons without queue statistics.
func withoutStats(t *testing.T) avro.Schema {
	record, isRecord := loadSchema.(*avro.RecordSchema)
	require.True(t, isRecord)
	fields := record.Fields()
	require.Equal(t, "sums", fields[len(fields)-1].Name(), "older daemons read the fields before it")
	older, err := avro.NewRecordSchema(record.Name(), record.Namespace(), fields[:len(fields)-1])
	require.NoError(t, err)
	return older
}

// TestQueueStatsRoundTrip also covers messages of older daemons without statistics.
func TestQueueStatsRoundTrip(t *testing.T) {
	sent := loadSet{inFlight: map[string]backend.PeerLoad{"one": {Online: 1}}, waiting: 7,
		queueStats: map[string]slotqueue.Stats{"s": {OnTime: 1, Overdue: 2, FreedSlots: 3}, "other": {Overdue: 4}}}
	payload, err := encode(sent, eventSet{})
	require.NoError(t, err)
	got, _, err := decode(payload)
	require.NoError(t, err)
	require.True(t, sent.equal(got))
	require.Equal(t, sent.queueStats, got.queueStats)

	older := loadMessage{Backends: []backendLoad{{ID: "one", Online: 1}}, Reads: []readRecord{}, Failures: []failureRecord{}, Waiting: 7}
	payload, err = avro.Marshal(withoutStats(t), older)
	require.NoError(t, err)
	got, _, err = decode(payload)
	require.NoError(t, err)
	require.Equal(t, 7, got.waiting)
	require.Equal(t, sent.inFlight, got.inFlight)
	require.Empty(t, got.queueStats)
}

// TestRelayAddsQueueStats: a daemon gets the statistics of all others without its own.
func TestRelayAddsQueueStats(t *testing.T) {
	reported := func(service string, stats slotqueue.Stats) loadSet {
		return loadSet{inFlight: map[string]backend.PeerLoad{}, queueStats: map[string]slotqueue.Stats{service: stats}}
	}
	collected, now := newRelay(), time.Now()
	collected.setMember("a", reported("s", slotqueue.Stats{OnTime: 1, Overdue: 2, FreedSlots: 3}), eventSet{}, now)
	collected.setMember("b", reported("s", slotqueue.Stats{OnTime: 10}), eventSet{}, now)
	collected.setMember("c", reported("other", slotqueue.Stats{Overdue: 5}), eventSet{}, now)
	collected.setZone("far", reported("s", slotqueue.Stats{OnTime: 100, FreedSlots: 200}), eventSet{}, now)
	total := collected.fleetTotal()
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 110, FreedSlots: 200}, "other": {Overdue: 5}}, collected.othersOf("a", total).queueStats)
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 111, Overdue: 2, FreedSlots: 203}}, collected.othersOf("c", total).queueStats)
	require.Equal(t, map[string]slotqueue.Stats{"s": {OnTime: 11, Overdue: 2, FreedSlots: 3}, "other": {Overdue: 5}}, collected.zoneTotal().queueStats)
	require.False(t, reported("s", slotqueue.Stats{Overdue: 1}).isEmpty())
	require.False(t, reported("s", slotqueue.Stats{Overdue: 1}).equal(reported("s", slotqueue.Stats{Overdue: 2})))
}
