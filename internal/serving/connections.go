package serving

import (
	"slices"
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

// closeExhausted marks the candidates to which no request can be sent now. If only ejected ones
// are left, it marks these, too: they most likely run no more, while a connection to another one
// becomes free soon.
func (c *Core) closeExhausted(service string, candidates []routing.Candidate) {
	exhausted := c.exhausted(service)
	if len(exhausted) == 0 {
		return
	}
	closed, usable := 0, 0
	for index := range candidates {
		each := &candidates[index]
		switch {
		case each.Closed:
		case exhausted[backend.Incarnation{ID: each.ID, StartMillis: each.StartMillis}]:
			each.Closed = true
			closed++
		case !each.Ejected:
			usable++
		}
	}
	if closed == 0 || usable > 0 {
		return
	}
	for index := range candidates {
		candidates[index].Closed = true
	}
}

// HasConnection reports whether a request can be sent to some usable backend of a service.
func (c *Core) HasConnection(service string) bool {
	exhausted := c.exhausted(service)
	if len(exhausted) == 0 {
		return true
	}
	return slices.ContainsFunc(c.Backends.Usable(service, time.Now()), func(each backend.Incarnation) bool { return !exhausted[each] })
}

// IntakeLoad returns the load that decides whether callers' connections are taken. startDelay is
// the mean delay of accepted connections. The work in flight is counted only if something is short.
func (c *Core) IntakeLoad(startDelay time.Duration) intake.Load {
	others := c.Fleet() - 1
	load := intake.Load{HasPeers: others > 0, StartDelay: startDelay} // idle daemons report no load
	if !load.HasPeers {
		return load
	}
	isShort := startDelay >= intake.LongDelay
	for service, share := range c.requests.Shares(time.Now()) {
		hasConnection := c.HasConnection(service)
		isShort = isShort || !hasConnection
		load.Services = append(load.Services, intake.ServiceLoad{Service: service, Share: share, HasConnection: hasConnection})
	}
	if !isShort {
		return load
	}
	for index := range load.Services {
		each := &load.Services[index]
		own, peers := c.Backends.InFlight(each.Service)
		each.Own, each.Others = own, float64(peers)/float64(others)
	}
	return load
}
