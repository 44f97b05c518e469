package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/routing"
	"topazpulley/internal/settings"
)

// prefixZone starts the keys of the per-zone aggregates that all zones see.
const prefixZone = "zone/"

const (
	aggregateInterval = time.Second
	aggregateRefresh  = 5 * time.Second
	forwardTries      = 3
	copyBufferBytes   = 4 << 10
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

func newForwardClient(process settings.Settings) *fasthttp.Client {
	return &fasthttp.Client{
		MaxConnsPerHost: maxConnsPerAddress, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
		StreamResponseBody: true, TLSConfig: forwardTLS(process),
		DisablePathNormalizing: true, // the engine gets the target that its caller wrote
	}
}

// forwardTLS trusts the daemon's own certificate file: all daemons of a fleet
// share an authority, whose certificate the file must include.
func forwardTLS(process settings.Settings) *tls.Config {
	if process.TLSCertificateFile == "" {
		return nil
	}
	pool := x509.NewCertPool()
	if content, err := os.ReadFile(process.TLSCertificateFile); err == nil {
		pool.AppendCertsFromPEM(content)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}
}

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

// forwardTo passes the call on and copies the answer as it comes. It returns
// false only if the other daemon certainly did not run the request.
func (c *caller) forwardTo(member membership.Member) bool {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	c.call.Request.CopyTo(request)
	scheme := "http://"
	if c.gateway.Settings.TLSCertificateFile != "" {
		scheme = "https://"
	}
	request.URI().DisablePathNormalizing = true
	request.SetRequestURI(scheme + member.HTTPAddress + string(c.call.RequestURI()))
	request.Header.SetHost(member.HTTPAddress)
	request.Header.Set(HeaderHop, c.gateway.Settings.Zone)
	err := c.gateway.forward.DoDeadline(request, response, time.Now().Add(maxDeadline))
	if err != nil {
		fasthttp.ReleaseResponse(response)
		c.gateway.Logger.Info("request_forward_failed", "zone", member.Zone, "to", member.Name, "caller", c.call.RemoteAddr().String(), "tenant", c.tenant, "error", err)
		return c.forwardFailed(err)
	}
	// The other daemon gives the request an id of its own, which its lines carry.
	c.gateway.Logger.Info("request_forwarded", "zone", member.Zone, "to", member.Name, "status", response.StatusCode(),
		"answered_as", string(response.Header.Peek(HeaderRequestID)), "caller", c.call.RemoteAddr().String(), "tenant", c.tenant)
	c.copyAnswer(response)
	return true
}

func (c *caller) forwardFailed(err error) bool {
	if isDialFailure(err) {
		return false
	}
	c.gateway.writeFailure(c.call, failure.Wrap(err, failure.KindOutcomeUnknown, codeOutcomeUnknown, "the request was forwarded to another zone and its outcome cannot be learnt"))
	return true
}

func isDialFailure(err error) bool {
	_, isDial := err.(*fasthttp.ErrDialWithUpstream)
	return isDial || err == fasthttp.ErrDialTimeout || err == fasthttp.ErrNoFreeConns
}

func (c *caller) copyAnswer(response *fasthttp.Response) {
	c.call.SetStatusCode(response.StatusCode())
	c.call.SetContentTypeBytes(append([]byte(nil), response.Header.ContentType()...))
	for _, name := range []string{HeaderRequestID, "Retry-After"} {
		if value := response.Header.Peek(name); len(value) > 0 {
			c.call.Response.Header.SetBytesV(name, value)
		}
	}
	c.streamBody(func(output *bufio.Writer) error {
		defer fasthttp.ReleaseResponse(response)
		return copyFlushing(output, response.BodyStream())
	})
}

// copyFlushing passes every read on at once, as streams need. An error tells that the
// input broke off or that the output is not taken.
func copyFlushing(output *bufio.Writer, input io.Reader) error {
	buffer := make([]byte, copyBufferBytes)
	for {
		count, err := input.Read(buffer)
		if _, writeErr := output.Write(buffer[:count]); writeErr != nil {
			return errors.WithStack(writeErr)
		}
		if flushErr := output.Flush(); flushErr != nil {
			return errors.WithStack(flushErr)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.WithStack(err)
		}
	}
}
