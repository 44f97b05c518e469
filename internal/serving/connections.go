package serving

import (
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/intake"
	"topazpulley/internal/routing"
)

// exhausted returns the backends of a service to which this daemon's share of the connections is
// in use.
func (c *Core) exhausted(service string) map[backend.Incarnation]bool {
	if c.Connector == nil {
		return nil
	}
	return c.Connector.Exhausted(c.ConnectionShare(service))
}

// closeExhausted marks the candidates to which no request can be sent now.
func (c *Core) closeExhausted(service string, candidates []routing.Candidate) {
	exhausted := c.exhausted(service)
	if len(exhausted) == 0 {
		return
	}
	for index := range candidates {
		each := &candidates[index]
		if exhausted[backend.Incarnation{ID: each.ID, StartMillis: each.StartMillis}] {
			each.Closed = true
		}
	}
}

// hasConnection reports whether a request can be sent to some backend of a service.
func (c *Core) hasConnection(service string) bool {
	exhausted := c.exhausted(service)
	if len(exhausted) == 0 {
		return true
	}
	for _, each := range c.Backends.Instances(service) {
		if !each.Draining && !exhausted[each.Incarnation()] {
			return true
		}
	}
	return false
}

// IntakeLoad returns the load that decides whether callers' connections are taken.
func (c *Core) IntakeLoad() intake.Load {
	others := c.Fleet() - 1
	load := intake.Load{HasPeers: others > 0 && c.Backends.HasPeerReports()}
	if !load.HasPeers {
		return load
	}
	for service, share := range c.requests.Shares(time.Now()) {
		own, peers := c.Backends.InFlight(service)
		load.Services = append(load.Services, intake.ServiceLoad{
			Share: share, HasConnection: c.hasConnection(service), Own: own, Others: float64(peers) / float64(others),
		})
	}
	return load
}
