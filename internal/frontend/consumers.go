package frontend

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/periodic"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// configConsumer follows the table that the operator writes. It applies configurations and
// zone evacuations.
type configConsumer struct {
	ports       Ports
	holder      *route.Holder
	evacuations *evacuations
	log         *slog.Logger
	// origin returns where the rows that are being applied came from.
	origin func() table.Origin
	// isUnreadable is set while the newest configuration can't be read, so that an older one is in force.
	isUnreadable atomic.Bool
}

// Replace implements table.Consumer.
func (c *configConsumer) Replace(rows []table.Row, version table.Version) {
	c.evacuations.replace(rows, version)
	c.applyNewest(rows)
}

// Change implements table.Consumer.
func (c *configConsumer) Change(rows []table.Row, version table.Version) {
	c.evacuations.change(rows, version)
	c.applyNewest(rows)
}

// applyNewest applies the newest configuration among the rows, if any.
func (c *configConsumer) applyNewest(rows []table.Row) {
	for _, row := range slices.Backward(rows) {
		if row.Key == c.ports.ConfigKey && !row.Deleted {
			c.apply(row)
			return
		}
	}
}

func (c *configConsumer) apply(row table.Row) {
	started := time.Now()
	config, err := c.ports.DecodeConfig(row.Value)
	c.isUnreadable.Store(err != nil)
	if err != nil {
		c.log.Error("configuration_unreadable", "row_version", row.Version, "error", err)
		return
	}
	if !c.holder.Apply(config, time.Now()) {
		return
	}
	origin := c.origin()
	c.log.Info("configuration_applied", "config", config.Version, "row_version", row.Version, "routes", len(config.Routes), "services", len(config.Services), "tenants", len(config.Tenants),
		"source", string(origin.Source), "from", origin.Daemon, "unconfirmed_ms", origin.Unconfirmed.Milliseconds(), "bytes", len(row.Value), "took_us", time.Since(started).Microseconds())
}

// instanceConsumer keeps the set of backends up to date with the table of backends. A backend
// whose entry disappears stays in use for the grace that the table gives. mutex guards missing, the
// ids of these backends.
type instanceConsumer struct {
	ports    Ports
	backends *backend.Set
	metrics  *telemetry.Backends
	log      *slog.Logger
	// unreadable counts and logs the entries that can't be used.
	unreadable *unreadableEntries
	// isNamed reports whether the current configuration names a service. Backends of other
	// services are listed but get no requests.
	isNamed func(service string) bool
	// grace returns for how long backends whose entries are missing are used on.
	grace func() table.Grace
	// departures logs backends that leave.
	departures *departures

	// isBulk is set while a change with more than maxListingLines entries is applied. It is
	// used within the follower's calls only, of which there is one at a time.
	isBulk bool

	mutex   sync.Mutex
	missing map[string]missingBackend
	// missingSignal is signalled when an entry is missing.
	missingSignal chan struct{}
}

// missingBackend is a backend whose entry is missing and that is used on for a while.
type missingBackend struct {
	heard heardDeparture
	grace table.Grace
}

func newInstanceConsumer(ports Ports, backends *backend.Set, metrics *telemetry.Backends, log *slog.Logger) *instanceConsumer {
	return &instanceConsumer{
		ports: ports, backends: backends, metrics: metrics, log: log, unreadable: newUnreadableEntries(metrics, log),
		departures: &departures{metrics: metrics, log: log, origin: func() table.Origin { return table.Origin{} }},
		missing:    map[string]missingBackend{}, missingSignal: make(chan struct{}, 1),
		grace: func() table.Grace { return table.Grace{} }, isNamed: func(string) bool { return true },
	}
}

// Replace implements table.Consumer.
func (c *instanceConsumer) Replace(rows []table.Row, version table.Version) {
	c.backends.DropUnused()
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
	}
	gone := []string{}
	for _, known := range c.backends.Instances("") {
		if !listed[known.ID] {
			gone = append(gone, known.ID)
		}
	}
	c.isBulk = len(gone) > maxListingLines
	for _, id := range gone {
		c.remove(id, version)
	}
	c.Change(rows, version)
}

// Change implements table.Consumer.
func (c *instanceConsumer) Change(rows []table.Row, version table.Version) {
	before := c.backends.Count("")
	c.isBulk = len(rows) > maxListingLines
	for _, row := range rows {
		if row.Deleted {
			c.remove(row.Key, row.Version)
			continue
		}
		c.put(row)
	}
	if c.isBulk {
		c.log.Info("backends_listed", "entries", len(rows), "known", c.backends.Count(""), "known_before", before, "version", version)
	}
}

// maxListingLines is how many entries of one change are logged with a line each. For a larger
// change, as at the start of a large fleet, one line has the counts.
const maxListingLines = 64

func (c *instanceConsumer) put(row table.Row) {
	instance, err := c.ports.DecodeInstance(row.Key, row.Value)
	if err != nil {
		c.reject(row, err)
		return
	}
	if err := checkStartTime(instance, time.Now()); err != nil {
		c.reject(row, err)
		return
	}
	before, wasListed := c.backends.Get(row.Key)
	listing := c.backends.Put(instance)
	if listing != backend.ListingStale {
		c.clearMissing(row.Key)
	}
	c.metrics.Listings.WithLabelValues(listing.String()).Inc()
	if instance.Draining && !before.Draining {
		c.departures.announced()
	}
	if c.isBulk || (wasListed && before == instance) {
		return // logged as a summary, or unchanged
	}
	heard := c.departures.hear()
	c.log.Info("backend_listed", "backend", instance.ID, "born", instance.StartMillis, "change", listing.String(), "service", instance.Service, "is_named", c.isNamed(instance.Service), "address", instance.Address, "zone", instance.Zone, "software", instance.Version,
		"slots", instance.Slots, "draining", instance.Draining, "cold_ms", instance.ColdFor.Milliseconds(), "row_version", row.Version,
		"source", string(heard.origin.Source), "from", heard.origin.Daemon, "acknowledged_ms", telemetry.AgeMillis(heard.acknowledged))
}

// originOf returns the service and the software version of an entry as one text.
func (c *instanceConsumer) originOf(row table.Row) string {
	instance, err := c.ports.DecodeInstance(row.Key, row.Value)
	if err != nil {
		return ""
	}
	return instance.Service + "\x00" + instance.Version
}

// reject handles an entry that can't be used. A backend that was listed under its key is
// removed; its running requests continue.
func (c *instanceConsumer) reject(row table.Row, cause error) {
	c.unreadable.record(row, cause, time.Now())
	c.clearMissing(row.Key)
	_, isListed := c.backends.Get(row.Key)
	c.backends.Remove(row.Key)
	if !isListed {
		return
	}
	c.log.Info("backend_removed", "backend", row.Key, "row_version", row.Version, "reason", "unreadable", "kind", kindOf(cause))
}

// clearMissing records that a backend's entry is not missing.
func (c *instanceConsumer) clearMissing(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.missing, id)
}

// remove removes a backend whose entry went, or records it as missing while it is used on.
func (c *instanceConsumer) remove(id string, version table.Version) {
	heard := c.departures.hear()
	if grace := c.grace(); !grace.IsOver() {
		c.addMissing(id, version, missingBackend{heard: heard, grace: grace})
		return
	}
	c.clearMissing(id)
	gone, isListed := c.backends.Get(id)
	c.backends.Remove(id)
	if isListed {
		c.departures.removed(gone, departureGone, version, heard, c.isBulk)
	}
}

// addMissing records that a backend's entry is missing. If it is already, its grace stays: rows that
// arrive later don't extend it.
func (c *instanceConsumer) addMissing(id string, version table.Version, found missingBackend) {
	c.mutex.Lock()
	_, isMissing := c.missing[id]
	if !isMissing {
		c.missing[id] = found
	}
	c.mutex.Unlock()
	if isMissing {
		return
	}
	c.backends.MarkMissing(id, found.heard.at, found.grace.IsOver)
	if !c.isBulk {
		c.departures.missing(id, version, found)
	}
	select {
	case c.missingSignal <- struct{}{}:
	default:
	}
}

// settleAll removes backends with missing entries, once their grace is over, until the context ends.
func (c *instanceConsumer) settleAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.missingSignal:
		}
		for c.isAnyMissing() && periodic.Sleep(ctx, settleInterval) {
			c.settle()
		}
	}
}

func (c *instanceConsumer) isAnyMissing() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.missing) > 0
}

// settle removes the backends whose entries are still missing at the end of their grace.
func (c *instanceConsumer) settle() {
	for id, lapsed := range c.takeLapsed() {
		if gone, isRemoved := c.backends.RemoveLapsed(id); isRemoved {
			c.departures.removed(gone, departureLapsed, 0, lapsed.heard, false)
		}
	}
}

// takeLapsed removes and returns the missing backends whose grace is over.
func (c *instanceConsumer) takeLapsed() map[string]missingBackend {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	lapsed := map[string]missingBackend{}
	for id, each := range c.missing {
		if each.grace.IsOver() {
			lapsed[id] = each
			delete(c.missing, id)
		}
	}
	return lapsed
}
