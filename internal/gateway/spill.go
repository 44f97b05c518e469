package gateway

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
)

// prefixZone starts the keys of the per-zone aggregates that all zones see.
const prefixZone = "zone/"

const (
	aggregateInterval = time.Second
	aggregateRefresh  = 5 * time.Second
	forwardTries      = 3
)

// zoneAggregate is what other zones know of a zone's service.
type zoneAggregate struct {
	// Serving counts the engines that serve, and Free the online requests that
	// they have room for.
	Serving int
	Free    int
}

var aggregateSchema = avrocodec.MustParse(`{"type":"record","name":"ZoneAggregate","fields":[
	{"name":"Serving","type":"int"},{"name":"Free","type":"int"}]}`)

// RunAggregates publishes this zone's aggregates, by service, while the duty
// falls to this daemon.
func (g *Gateway) RunAggregates(ctx context.Context) {
	sent := map[string]sentAggregate{}
	periodic.Run(ctx, aggregateInterval, func() { g.publishAggregates(sent) })
}

// sentAggregate is what was last published of a service.
type sentAggregate struct {
	aggregate zoneAggregate
	at        time.Time
}

// publishAggregates publishes what changed, and everything from time to time.
func (g *Gateway) publishAggregates(sent map[string]sentAggregate) {
	if duty.Owner("aggregate/"+g.Settings.Zone, g.Node.ZoneNames()) != g.Settings.Name {
		return
	}
	for _, service := range g.Holder.Services() {
		aggregate, last := g.aggregate(service), sent[service]
		if aggregate == last.aggregate && time.Since(last.at) < aggregateRefresh {
			continue
		}
		sent[service] = sentAggregate{aggregate: aggregate, at: time.Now()}
		g.publishAggregate(service, aggregate)
	}
}

func (g *Gateway) aggregate(service string) zoneAggregate {
	total := zoneAggregate{}
	_, active := g.Holder.Current()
	if active == nil {
		return total
	}
	limit := active.Services[service].Policy.OnlineLimit
	for _, view := range g.Registry.OfService(service) {
		if !view.Known || !view.Serving(time.Now()) {
			continue
		}
		total.Serving++
		total.Free += max(limit-routing.Load(view), 0)
	}
	return total
}

func (g *Gateway) publishAggregate(service string, aggregate zoneAggregate) {
	payload, err := avro.Marshal(aggregateSchema, aggregate)
	if err != nil {
		return
	}
	g.Node.Publish(membership.Item{Key: prefixZone + g.Settings.Zone + "/" + service, Priority: membership.PriorityLoad, Payload: payload})
}

// otherZones returns the zones that have room for a service, the nearest
// first: those of this region, then by free room.
func (g *Gateway) otherZones(service string) []string {
	zones := []string{}
	items := g.Node.Items(func(key string) bool {
		return strings.HasPrefix(key, prefixZone) && strings.HasSuffix(key, "/"+service)
	})
	for _, item := range items {
		zone := strings.TrimSuffix(strings.TrimPrefix(item.Key, prefixZone), "/"+service)
		aggregate := zoneAggregate{}
		if avrocodec.Unmarshal(aggregateSchema, item.Payload, &aggregate) != nil || zone == g.Settings.Zone || aggregate.Free == 0 {
			continue
		}
		zones = append(zones, zone)
	}
	rand.Shuffle(len(zones), func(a, b int) { zones[a], zones[b] = zones[b], zones[a] })
	return zones
}

// spill forwards the call to a daemon of another zone that has room. It
// returns true when it has written the answer.
func (c *caller) spill(service string) bool {
	if len(c.call.Request.Header.Peek(HeaderHop)) > 0 {
		return false
	}
	tries := 0
	for _, zone := range c.gateway.otherZones(service) {
		member, found := c.gateway.randomMember(func(member membership.Member) bool { return member.Zone == zone })
		if !found {
			continue
		}
		if tries++; tries > forwardTries {
			return false
		}
		if c.forwardTo(member) {
			c.gateway.Metrics.Spilled.WithLabelValues(zone).Inc()
			return true
		}
	}
	return false
}

// randomMember picks one of the alive members that accept chooses.
func (g *Gateway) randomMember(accept func(membership.Member) bool) (membership.Member, bool) {
	candidates := []membership.Member{}
	for _, member := range g.Node.Members() {
		if member.State == membership.StateAlive && accept(member) {
			candidates = append(candidates, member)
		}
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return candidates[rand.IntN(len(candidates))], true
}
