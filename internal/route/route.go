// Package route holds the routing configuration that is in force: routes by
// host and path prefix, services, tenants, and limits on callers. A Table is compiled
// once from a Config and never changes; Holder swaps whole tables, and their
// versions only rise.
package route

import (
	"time"

	"topazpulley/internal/tenant"
)

// Kind says what may be done with a request of a route.
type Kind uint8

// The kinds of route.
const (
	// KindRepeatable marks plain requests that may run more than once.
	KindRepeatable Kind = iota
	// KindOnce marks plain requests that run at most once.
	KindOnce
	// KindStream marks requests that are answered by a series of events.
	KindStream
	// KindJob marks batch jobs, whose items run later.
	KindJob
)

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	// Weight is relative to the other targets' weights.
	Weight int
}

// Route says where requests of a host and path prefix go and how.
type Route struct {
	Name string
	// Host is the host name in lower case, without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Resumable allows a broken stream to go on at another backend.
	Resumable bool
	// Targets has at least one entry.
	Targets []Target
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// Objective is the time in which an answer, or a stream's first event,
	// is worth most.
	Objective time.Duration
	// Due is when all results of a job should exist, from its submission.
	Due time.Duration
	// GiveUpAfter is when an item of a job may be given up, from the job's
	// submission; 0 means never.
	GiveUpAfter time.Duration
	// MaxQueuedTokens bounds the tokens that may wait on a job route, summed
	// over all daemons; 0 means no bound.
	MaxQueuedTokens int64
	// MaxAttempts is the greatest number of backends that may run one request.
	MaxAttempts int
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// KeyOptional lets callers without a key use the route although the
	// configuration has tenants.
	KeyOptional bool
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeatable || (r.Kind == KindStream && r.Resumable)
}

// IsOfHost reports whether the route belongs to a host name, which may carry a
// port.
func (r *Route) IsOfHost(host string) bool { return r.Host == canonicalHost(host) }

// Service picks one target by a number that is spread evenly over all values,
// such as a hash of the request's id.
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

// Service describes a group of interchangeable backends.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one backend from all daemons
	// together; 0 means no bound.
	MaxConnections int
	// ReservationTime is the longest time for which a backend sets a place
	// aside; 0 means that it does not.
	ReservationTime time.Duration
	// ColdRate is how many requests a second a cold backend bears; 0 means any number.
	ColdRate float64
}

// Limits bound what a caller may send and how long it may take.
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
	// Tenants may call; without any, everybody may.
	Tenants []tenant.Tenant
	Limits  Limits
}
