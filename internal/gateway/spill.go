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

// prefixZone is the key prefix of the per-zone aggregates, which all zones receive.
const prefixZone = "zone/"

const (
	aggregateInterval = time.Second
	aggregateRefresh  = 5 * time.Second
	forwardTries      = 3
)

// zoneAggregate is the published capacity of a service in one zone.
type zoneAggregate struct {
	// Serving is the number of serving engines, and Free the number of online requests
	// that they can still accept.
	Serving int
	Free    int
}

var aggregateSchema = avrocodec.MustParse(`{"type":"record","name":"ZoneAggregate","fields":[
	{"name":"Serving","type":"int"},{"name":"Free","type":"int"}]}`)

// RunAggregates publishes this zone's aggregate of each service while this daemon has
// the duty, until the context ends.
func (g *Gateway) RunAggregates(ctx context.Context) {
	sent := map[string]sentAggregate{}
	periodic.Run(ctx, aggregateInterval, func() { g.publishAggregates(sent) })
}

// sentAggregate is the last published aggregate of a service and its time.
type sentAggregate struct {
	aggregate zoneAggregate
	at        time.Time
}

// publishAggregates publishes changed aggregates, and unchanged ones every
// aggregateRefresh.
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

// otherZones returns the other zones with free capacity for a service, in random
// order.
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

// spill forwards the call to a daemon of another zone with free capacity, unless the
// call was itself forwarded. It returns true if it has written the answer.
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

// randomMember picks a random alive member for which accept returns true.
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
