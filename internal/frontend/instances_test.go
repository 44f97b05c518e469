package frontend

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

func row(id string, version table.Version) table.Row {
	return table.Row{Key: id, Version: version, Value: []byte(id)}
}

// invalidValue is the value of an entry that can't be decoded.
const invalidValue = "odd"

// unreadableName is the metric that counts such entries.
const unreadableName = "topazpulley_backend_unreadable_total"

func newTestConsumer(settled *bool) *instanceConsumer {
	return newMeteredConsumer(settled, prometheus.NewRegistry())
}

// newMeteredConsumer returns a consumer whose metrics are on a registry.
func newMeteredConsumer(settled *bool, registry *prometheus.Registry) *instanceConsumer {
	ports := Ports{DecodeInstance: func(key string, value []byte) (backend.Instance, error) {
		if string(value) == invalidValue {
			return backend.Instance{}, failure.New(failure.KindInvalid, "odd", "the entry names no backend")
		}
		return backend.Instance{ID: key, Service: "s", Slots: 1}, nil
	}}
	made := newInstanceConsumer(ports, backend.NewSet(), telemetry.NewBackends(registry), slog.New(slog.DiscardHandler))
	made.grace = func() table.Grace {
		if *settled {
			return table.Grace{}
		}
		return table.NewGrace(table.DoubtCallFailed, func() time.Duration {
			if *settled {
				return 0
			}
			return time.Hour
		})
	}
	return made
}

func requireListed(t *testing.T, consumer *instanceConsumer, expected ...string) {
	t.Helper()
	ids := []string{}
	for _, instance := range consumer.backends.Instances("") {
		ids = append(ids, instance.ID)
	}
	require.ElementsMatch(t, expected, ids)
}

// TestMissingEntriesWhileUnsettled: backends whose entries disappear during a store outage stay
// in use until the table is settled; those still missing then are removed.
func TestMissingEntriesWhileUnsettled(t *testing.T) {
	isSettled := true
	consumer := newTestConsumer(&isSettled)
	consumer.Replace([]table.Row{row("a", 1), row("b", 2), row("c", 3)}, 3)
	isSettled = false
	consumer.Replace([]table.Row{row("a", 1)}, 9)
	consumer.settle()
	requireListed(t, consumer, "a", "b", "c")
	consumer.Change([]table.Row{row("b", 10)}, 10)
	isSettled = true
	consumer.settle()
	requireListed(t, consumer, "a", "b")
}

// TestDeletedEntryRemovesBackend: a backend whose entry is deleted while the table is settled is
// removed at once.
func TestDeletedEntryRemovesBackend(t *testing.T) {
	isSettled := true
	consumer := newTestConsumer(&isSettled)
	consumer.Replace([]table.Row{row("a", 1), row("b", 2)}, 2)
	consumer.Change([]table.Row{{Key: "a", Version: 3, Deleted: true}}, 3)
	requireListed(t, consumer, "b")
	consumer.Replace(nil, 4)
	requireListed(t, consumer)
}

// TestInvalidEntryRemovesBackend: an entry that becomes invalid removes its backend at once, also
// while the table is not settled. Others stay, and a valid entry lists the backend again.
func TestInvalidEntryRemovesBackend(t *testing.T) {
	isSettled := true
	registry := prometheus.NewRegistry()
	consumer := newMeteredConsumer(&isSettled, registry)
	consumer.Replace([]table.Row{row("a", 1), row("b", 2), {Key: "c", Version: 3, Value: []byte(invalidValue)}}, 3)
	requireListed(t, consumer, "a", "b")
	lease, found := consumer.backends.Acquire("a", backend.Online, nil)
	require.True(t, found)
	isSettled = false
	consumer.Change([]table.Row{{Key: "a", Version: 4, Value: []byte(invalidValue)}}, 4)
	requireListed(t, consumer, "b")
	lease.Release()
	consumer.Replace([]table.Row{{Key: "a", Version: 4, Value: []byte(invalidValue)}, row("b", 2)}, 5)
	requireListed(t, consumer, "b")
	consumer.Change([]table.Row{row("a", 6)}, 6)
	requireListed(t, consumer, "a", "b")
	require.EqualValues(t, 3, counted(t, registry, unreadableName, "odd"))
}

// TestInvalidEntriesLogRate: invalid entries are all counted, and logged at a limited rate per
// kind.
func TestInvalidEntriesLogRate(t *testing.T) {
	var written bytes.Buffer
	registry := prometheus.NewRegistry()
	metrics := telemetry.NewBackends(registry)
	entries := newUnreadableEntries(metrics, slog.New(slog.NewTextHandler(&written, nil)))
	cause, now := failure.New(failure.KindInvalid, "odd", "the entry names no backend"), time.Now()
	for range 100 {
		entries.record(row("a", 1), cause, now)
	}
	entries.record(row("a", 1), errors.New("another"), now)
	entries.record(row("a", 1), cause, now.Add(unreadablePause))
	require.Equal(t, 3, strings.Count(written.String(), "backend_unreadable"))
	require.Contains(t, written.String(), "unlogged=99")
	require.EqualValues(t, 101, counted(t, registry, unreadableName, "odd"))
	require.EqualValues(t, 1, counted(t, registry, unreadableName, unknownKind))
}

// counted returns the value of a counter for a value of its label.
func counted(t *testing.T, registry *prometheus.Registry, name, value string) float64 {
	t.Helper()
	families, err := registry.Gather()
	require.NoError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name && metric.GetLabel()[0].GetValue() == value {
				return metric.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// Guards against a grace that rows which arrive later put off: copies of other daemons may keep coming.
func TestLaterRowsDoNotExtendGrace(t *testing.T) {
	consumer := newMeteredConsumer(new(bool), prometheus.NewRegistry())
	left := time.Second
	consumer.grace = func() table.Grace { return table.NewGrace(table.DoubtPeer, func() time.Duration { return left }) }
	consumer.Replace([]table.Row{row("a", 1), row("b", 2)}, 2)
	consumer.Replace([]table.Row{row("a", 1)}, 3)
	consumer.grace = func() table.Grace { return table.NewGrace(table.DoubtPeer, func() time.Duration { return time.Hour }) }
	consumer.Replace([]table.Row{row("a", 1)}, 4)
	requireListed(t, consumer, "a", "b")
	left = 0
	consumer.settle()
	requireListed(t, consumer, "a")
}
