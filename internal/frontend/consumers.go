package frontend

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/periodic"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
)

// configConsumer follows what the operator writes: it puts configurations in force and
// has orders for zones obeyed.
type configConsumer struct {
	ports       Ports
	holder      *route.Holder
	evacuations *evacuations
	log         *slog.Logger
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

// applyNewest puts a configuration among the rows in force.
func (c *configConsumer) applyNewest(rows []table.Row) {
	for _, row := range rows {
		if row.Key == c.ports.ConfigKey && !row.Deleted {
			c.apply(row)
		}
	}
}

func (c *configConsumer) apply(row table.Row) {
	config, err := c.ports.DecodeConfig(row.Value)
	if err != nil {
		c.log.Error("configuration_unreadable", "row_version", row.Version, "error", err)
		return
	}
	if !c.holder.Apply(config, time.Now()) {
		return
	}
	c.log.Info("configuration_applied", "config", config.Version, "row_version", row.Version, "routes", len(config.Routes), "services", len(config.Services), "tenants", len(config.Tenants))
}

// instanceConsumer keeps the set of backends. mutex guards missing, the backends
// whose entries lapsed while the store was away: they are used on until it
// is settled that they are gone.
type instanceConsumer struct {
	ports    Ports
	backends *backend.Set
	metrics  *telemetry.Backends
	log      *slog.Logger
	// unreadable are the entries that name no backend to use.
	unreadable *unreadableEntries
	// isNamed tells whether the configuration in force names a service. A backend of
	// another one waits, asked for by nobody, until one does.
	isNamed func(service string) bool
	// isSettled tells whether a missing entry means that its backend is gone.
	isSettled func() bool

	// isBulk tells that a change has too many entries for a line each. It belongs to the
	// follower's goroutine.
	isBulk bool

	mutex   sync.Mutex
	missing map[string]bool
	// hasMissing is signalled when an entry is missing.
	hasMissing chan struct{}
}

func newInstanceConsumer(ports Ports, backends *backend.Set, metrics *telemetry.Backends, log *slog.Logger) *instanceConsumer {
	return &instanceConsumer{ports: ports, backends: backends, metrics: metrics, log: log, unreadable: newUnreadableEntries(metrics, log), missing: map[string]bool{}, hasMissing: make(chan struct{}, 1), isSettled: func() bool { return true }, isNamed: func(string) bool { return true }}
}

// Replace implements table.Consumer.
func (c *instanceConsumer) Replace(rows []table.Row, version table.Version) {
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
	c.isBulk = len(gone) > listingLines
	for _, id := range gone {
		c.remove(id, version)
	}
	c.Change(rows, version)
}

// Change implements table.Consumer.
func (c *instanceConsumer) Change(rows []table.Row, version table.Version) {
	before := c.backends.Count("")
	c.isBulk = len(rows) > listingLines
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

// listingLines is how many entries of one change have a line each. Of more, as at the start
// of a large fleet, one line tells the numbers.
const listingLines = 64

func (c *instanceConsumer) put(row table.Row) {
	instance, err := c.ports.DecodeInstance(row.Key, row.Value)
	if err != nil {
		c.refuse(row, err)
		return
	}
	if err := checkBirth(instance, time.Now()); err != nil {
		c.refuse(row, err)
		return
	}
	before, wasListed := c.backends.Get(row.Key)
	listing := c.backends.Put(instance)
	if listing != backend.ListingStale {
		c.found(row.Key)
	}
	c.metrics.Listings.WithLabelValues(listing.String()).Inc()
	if c.isBulk || (wasListed && before == instance) {
		return // one line tells of all, or it was read again
	}
	c.log.Info("backend_listed", "backend", instance.ID, "born", instance.StartMillis, "change", listing.String(), "service", instance.Service, "is_named", c.isNamed(instance.Service), "address", instance.Address, "zone", instance.Zone,
		"slots", instance.Slots, "draining", instance.Draining, "cold_ms", instance.ColdFor.Milliseconds(), "row_version", row.Version)
}

// refuse takes in an entry that names no backend to use. One that was listed under
// its id has gone, for all that is known: its entry is not its own any more. What runs
// there goes on.
func (c *instanceConsumer) refuse(row table.Row, cause error) {
	c.unreadable.note(row, cause, time.Now())
	c.found(row.Key)
	if _, isListed := c.backends.Get(row.Key); !isListed {
		return
	}
	c.backends.Remove(row.Key)
	c.log.Info("backend_removed", "backend", row.Key, "row_version", row.Version, "reason", "unreadable", "kind", kindOf(cause))
}

// found notes that a backend's entry is not missing.
func (c *instanceConsumer) found(id string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.missing, id)
}

// remove takes a backend out, or notes that its entry is missing.
func (c *instanceConsumer) remove(id string, version table.Version) {
	if !c.isSettled() {
		c.mutex.Lock()
		c.missing[id] = true
		c.mutex.Unlock()
		select {
		case c.hasMissing <- struct{}{}:
		default:
		}
		if !c.isBulk {
			c.log.Info("backend_missing", "backend", id, "row_version", version)
		}
		return
	}
	c.backends.Remove(id)
	if !c.isBulk {
		c.log.Info("backend_removed", "backend", id, "row_version", version)
	}
}

// settleAll settles missing entries until the context ends, and sleeps while
// there are none.
func (c *instanceConsumer) settleAll(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.hasMissing:
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

// settle takes the backends out whose entries are still missing once the table
// is settled.
func (c *instanceConsumer) settle() {
	if !c.isSettled() {
		return
	}
	c.mutex.Lock()
	gone := c.missing
	c.missing = map[string]bool{}
	c.mutex.Unlock()
	for id := range gone {
		c.backends.Remove(id)
		c.log.Info("backend_removed", "backend", id, "reason", "not_back")
	}
}
