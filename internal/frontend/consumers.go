package frontend

import (
	"log/slog"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/table"
)

// configConsumer puts configurations in force.
type configConsumer struct {
	ports  Ports
	holder *route.Holder
	log    *slog.Logger
}

// Replace implements table.Consumer.
func (c *configConsumer) Replace(rows []table.Row, version table.Version) { c.Change(rows, version) }

// Change implements table.Consumer.
func (c *configConsumer) Change(rows []table.Row, _ table.Version) {
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
	c.log.Info("configuration_applied", "config", config.Version, "row_version", row.Version, "routes", len(config.Routes), "services", len(config.Services))
}

// instanceConsumer keeps the set of back ends.
type instanceConsumer struct {
	ports    Ports
	backends *backend.Set
	log      *slog.Logger
}

// Replace implements table.Consumer.
func (c *instanceConsumer) Replace(rows []table.Row, version table.Version) {
	listed := map[string]bool{}
	for _, row := range rows {
		listed[row.Key] = true
	}
	c.backends.Retain(listed)
	c.Change(rows, version)
}

// Change implements table.Consumer.
func (c *instanceConsumer) Change(rows []table.Row, _ table.Version) {
	for _, row := range rows {
		if row.Deleted {
			c.backends.Remove(row.Key)
			c.log.Info("backend_removed", "backend", row.Key, "row_version", row.Version)
			continue
		}
		instance, err := c.ports.DecodeInstance(row.Key, row.Value)
		if err != nil {
			c.log.Error("backend_unreadable", "backend", row.Key, "row_version", row.Version, "error", err)
			continue
		}
		c.backends.Put(instance)
		c.log.Info("backend_listed", "backend", instance.ID, "service", instance.Service, "address", instance.Address, "zone", instance.Zone,
			"slots", instance.Slots, "draining", instance.Draining, "row_version", row.Version)
	}
}
