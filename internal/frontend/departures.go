package frontend

import (
	"log/slog"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// departure is how a backend left, by its entry.
type departure string

// The departures.
const (
	// departureAnnounced is an entry that says that its backend drains.
	departureAnnounced departure = "announced"
	// departureGone is an entry that went and was believed at once.
	departureGone departure = "gone"
	// departureLapsed is an entry that went while its backend was used on, and did not come back.
	departureLapsed departure = "lapsed"
)

// heardDeparture is what a daemon knows of a departure when it hears of it.
type heardDeparture struct {
	at time.Time
	// acknowledged is how long ago the store acknowledged the departure at most: the entry was known
	// to be there until then.
	acknowledged time.Duration
	origin       table.Origin
}

// departures logs and counts how backends leave: when the store can have acknowledged it, when this
// daemon heard of it and from whom, and when the backend was used no more.
type departures struct {
	metrics *telemetry.Backends
	log     *slog.Logger
	// origin returns where the rows that are being applied came from.
	origin func() table.Origin
}

// hear returns the departure that the rows that are being applied tell of.
func (d *departures) hear() heardDeparture {
	origin := d.origin()
	return heardDeparture{at: time.Now(), acknowledged: origin.Unconfirmed, origin: origin}
}

// announced counts a backend whose entry says that it drains.
func (d *departures) announced() { d.count(departureAnnounced, d.hear()) }

// missing logs an entry that went while its backend is used on, and why it is.
func (d *departures) missing(id string, version table.Version, found missingBackend) {
	d.log.Info("backend_missing", "backend", id, "row_version", version, "doubt", string(found.grace.Doubt), "grace_ms", found.grace.Left().Milliseconds(),
		"source", string(found.heard.origin.Source), "from", found.heard.origin.Daemon, "acknowledged_ms", telemetry.AgeMillis(found.heard.acknowledged))
}

// removed logs and counts a backend that is no longer used because its entry went. isQuiet leaves the
// line out.
func (d *departures) removed(gone backend.Instance, how departure, version table.Version, heard heardDeparture, isQuiet bool) {
	if !gone.Draining {
		d.count(how, heard)
	}
	if isQuiet {
		return
	}
	missingFor := time.Since(heard.at)
	d.log.Info("backend_removed", "backend", gone.ID, "how", string(how), "draining", gone.Draining, "row_version", version,
		"source", string(heard.origin.Source), "from", heard.origin.Daemon, "acknowledged_ms", telemetry.AgeMillis(heard.acknowledged+missingFor), "missing_ms", missingFor.Milliseconds())
}

// count counts a backend that is no longer used.
func (d *departures) count(how departure, heard heardDeparture) {
	d.metrics.Departures.WithLabelValues(string(how)).Inc()
	d.metrics.DepartureSeconds.WithLabelValues(string(how)).Observe((heard.acknowledged + time.Since(heard.at)).Seconds())
}
