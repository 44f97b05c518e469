package frontend

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// Guards against departures of which the logs don't tell how a backend left, when the store can have
// acknowledged it, who told this daemon, and why it was used on.
func TestDeparturesAreLogged(t *testing.T) {
	var written bytes.Buffer
	registry := prometheus.NewRegistry()
	grace := table.Grace{}
	decode := func(key string, value []byte) (backend.Instance, error) {
		return backend.Instance{ID: key, Service: "s", Slots: 1, Draining: string(value) == "draining"}, nil
	}
	consumer := newInstanceConsumer(Ports{DecodeInstance: decode}, backend.NewSet(), telemetry.NewBackends(registry), slog.New(slog.NewTextHandler(&written, nil)))
	consumer.grace = func() table.Grace { return grace }
	consumer.departures.origin = func() table.Origin {
		return table.Origin{Source: table.SourcePeer, Daemon: "10.0.0.1:7", Unconfirmed: 1234 * time.Millisecond}
	}
	logged := func(change func()) string {
		written.Reset()
		change()
		return written.String()
	}
	consumer.Replace([]table.Row{row("a", 1), row("b", 2), row("c", 3)}, 3)

	announced := logged(func() { consumer.Change([]table.Row{{Key: "a", Version: 4, Value: []byte("draining")}}, 4) })
	require.Regexp(t, `msg=backend_listed backend=a .*draining=true .*row_version=4 source=peer from=10.0.0.1:7 acknowledged_ms=1234`, announced)
	gone := logged(func() { consumer.Change([]table.Row{{Key: "b", Version: 5, Deleted: true}}, 5) })
	require.Regexp(t, `msg=backend_removed backend=b how=gone draining=false row_version=5 source=peer from=10.0.0.1:7 acknowledged_ms=\d{4,} missing_ms=\d+`, gone)
	left := 700 * time.Millisecond
	grace = table.NewGrace(table.DoubtCallFailed, func() time.Duration { return left })
	missing := logged(func() { consumer.Change([]table.Row{{Key: "c", Version: 6, Deleted: true}}, 6) })
	require.Regexp(t, `msg=backend_missing backend=c row_version=6 doubt=call_failed grace_ms=700 source=peer from=10.0.0.1:7 acknowledged_ms=1234`, missing)
	time.Sleep(20 * time.Millisecond)
	known := consumer.backends.EvidenceOf(backend.Incarnation{ID: "c"}, time.Now())
	require.GreaterOrEqual(t, known.MissingFor, 20*time.Millisecond)
	left = 0
	lapsed := logged(consumer.settle)
	require.Regexp(t, `msg=backend_removed backend=c how=lapsed draining=false .*acknowledged_ms=\d{4,} missing_ms=\d{2,}`, lapsed)
	for _, how := range []departure{departureAnnounced, departureGone, departureLapsed} {
		require.EqualValues(t, 1, counted(t, registry, "topazpulley_backend_departures_total", string(how)), how)
	}
}
