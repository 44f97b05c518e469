package frontend

import (
	"log/slog"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// evacuations follows the operator's evacuation orders. While an order is in the store,
// backends of its zone get no new requests. It is used by one goroutine at a time.
type evacuations struct {
	// decode returns the zone of an order, and false for other rows.
	decode   func(key string) (zone string, isOrder bool)
	backends *backend.Set
	metrics  *telemetry.Backends
	log      *slog.Logger
	// ordered has the zones to evacuate, by the key of the order.
	ordered map[string]string
}

func newEvacuations(decode func(string) (string, bool), backends *backend.Set, metrics *telemetry.Backends, log *slog.Logger) *evacuations {
	if decode == nil {
		decode = func(string) (string, bool) { return "", false }
	}
	return &evacuations{decode: decode, backends: backends, metrics: metrics, log: log, ordered: map[string]string{}}
}

// replace applies all rows of the table.
func (e *evacuations) replace(rows []table.Row, version table.Version) {
	e.ordered = map[string]string{}
	e.change(rows, version)
}

// change applies rows that changed.
func (e *evacuations) change(rows []table.Row, version table.Version) {
	for _, row := range rows {
		zone, isOrder := e.decode(row.Key)
		switch {
		case !isOrder:
		case row.Deleted:
			delete(e.ordered, row.Key)
		case zone == "":
			e.log.Warn("evacuation_unreadable", "key", row.Key, "row_version", row.Version)
		default:
			e.ordered[row.Key] = zone
		}
	}
	e.apply(version)
}

// apply evacuates the zones of the current orders and reopens all others.
func (e *evacuations) apply(version table.Version) {
	zones := map[string]bool{}
	for _, zone := range e.ordered {
		zones[zone] = true
	}
	evacuated, reopened := e.backends.SetEvacuated(zones, time.Now())
	for _, zone := range evacuated {
		e.metrics.Evacuated.WithLabelValues(zone).Set(1)
		e.log.Info("zone_evacuated", "zone", zone, "version", version, "zones_evacuated", len(zones))
	}
	for _, zone := range reopened {
		e.metrics.Evacuated.DeleteLabelValues(zone)
		e.log.Info("zone_reopened", "zone", zone, "version", version, "zones_evacuated", len(zones))
	}
}
