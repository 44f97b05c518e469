package frontend

import (
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

func openZones(backends *backend.Set) map[string]bool {
	open := map[string]bool{}
	for _, candidate := range backends.Candidates("s", nil, time.Now()) {
		if !candidate.Closed {
			open[candidate.Zone] = true
		}
	}
	return open
}

// TestEvacuationOrders: two zones in turn, a repeated order, one without a zone, one for an
// unknown zone, and a read of the complete table from which an order has disappeared.
func TestEvacuationOrders(t *testing.T) {
	backends := backend.NewSet()
	backends.Put(backend.Instance{ID: "a", Service: "s", Slots: 1, Zone: "one"})
	backends.Put(backend.Instance{ID: "b", Service: "s", Slots: 1, Zone: "two"})
	decode := func(key string) (string, bool) { return strings.CutPrefix(key, "order/") }
	metrics := telemetry.NewBackends(prometheus.NewRegistry())
	consumer := &configConsumer{holder: &route.Holder{}, evacuations: newEvacuations(decode, backends, metrics, quiet), log: quiet}
	change := func(key string, isGone bool) {
		consumer.Change([]table.Row{{Key: key, Value: []byte("{}"), Deleted: isGone}}, 1)
	}
	change("order/one", false)
	change("order/one", false)
	change("order/", false)
	change("order/nowhere", false)
	change("other", false)
	require.Equal(t, map[string]bool{"two": true}, openZones(backends))
	change("order/two", false)
	require.Empty(t, openZones(backends))
	change("order/one", true)
	require.Equal(t, map[string]bool{"one": true}, openZones(backends))
	consumer.Replace([]table.Row{{Key: "order/one"}}, 2)
	require.Equal(t, map[string]bool{"two": true}, openZones(backends), "the order for zone two is gone, that for zone one is back")
	consumer.Replace(nil, 3)
	require.Len(t, openZones(backends), 2)
}
