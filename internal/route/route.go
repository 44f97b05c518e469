// Package route holds the routing configuration: routes by host and path prefix, services,
// tenants, and limits on requests. A Config is compiled into an immutable Table. A Holder
// keeps the current Table and replaces it only by one with a higher version.
package route

import (
	"time"

	"topazpulley/internal/tenant"
)

// Kind is the kind of requests that a route takes.
type Kind uint8

// The kinds of route.
const (
	// KindRepeatable marks plain requests that may run more than once.
	KindRepeatable Kind = iota
	// KindOnce marks plain requests that run at most once.
	KindOnce
	// KindStream marks requests that are answered with a stream of events.
	KindStream
	// KindJob marks batch jobs.
	KindJob
)

// Target is a service of a route with its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets' weights.
	Weight int
}

// Route describes where and how requests of a host and path prefix are sent.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable allows a broken stream to be resumed at another backend.
	Resumable bool
	// Targets has at least one entry.
	Targets []Target
	// Timeout is the time limit of a request in the daemon.
	Timeout time.Duration
	// Objective is the latency target of an answer, or of a stream's first event.
	Objective time.Duration
	// Due is the time from a job's submission until all its results should exist.
	Due time.Duration
	// GiveUpAfter is the time from a job's submission after which its items may be given
	// up; 0 means never.
	GiveUpAfter time.Duration
	// MaxQueuedTokens limits the queued tokens of a job route, summed over all daemons; 0
	// means no limit.
	MaxQueuedTokens int64
	// MaxAttempts is the maximum number of backends that may run one request.
	MaxAttempts int
	// Priority is the route's rank; 0 is the highest.
	Priority int
	// KeyOptional allows requests without a key even if the configuration has tenants.
	KeyOptional bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// IsOfHost reports whether the route belongs to a host, which may include a port.
func (r *Route) IsOfHost(host string) bool { return r.Host == canonicalHost(host) }

// CountTargets returns the number of services that the route sends requests to.
func (r *Route) CountTargets() int {
	count := 0
	for _, target := range r.Targets {
		if target.Weight > 0 {
			count++
		}
	}
	return max(count, 1)
}

// HasTarget reports whether the route sends requests to a service.
func (r *Route) HasTarget(service string) bool {
	hasWeights := false
	for _, target := range r.Targets {
		if target.Weight <= 0 {
			continue
		}
		hasWeights = true
		if target.Service == service {
			return true
		}
	}
	return !hasWeights && r.Targets[0].Service == service
}

// Service selects a target by weight. spread must be evenly distributed, such as a hash of
// the request's id.
func (r *Route) Service(spread uint64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return r.Targets[0].Service
	}
	point := int(spread % uint64(total))
	for _, target := range r.Targets {
		point -= target.Weight
		if point < 0 {
			return target.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable backends.
type Service struct {
	Name string
	// MaxConnections limits the connections to one backend from all daemons together; 0
	// means no limit.
	MaxConnections int
	// ReservationTime is the maximum time for which a backend keeps a reservation; 0 means
	// that it supports none.
	ReservationTime time.Duration
	// ColdRate is the requests per second that a cold backend may get; 0 means no limit.
	ColdRate float64
}

// Limits restrict the size and duration of incoming requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Tenants are allowed to send requests; if empty, everybody is.
	Tenants []tenant.Tenant
	Limits  Limits
}
