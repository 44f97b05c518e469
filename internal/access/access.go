// Package access identifies the tenant of a call by its API key, and refuses calls while the
// daemon's keys may be out of date.
package access

import (
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/route"
	"topazpulley/internal/tenant"
)

const (
	// revocationReserve is the part of RevocationBound left for an admitted call to reach a
	// backend.
	revocationReserve = 500 * time.Millisecond
	// retryAfterUnconfirmed is the retry delay while this daemon's keys may be out of date;
	// another daemon may accept the call at once.
	retryAfterUnconfirmed = 300 * time.Millisecond
)

// Gate identifies callers.
type Gate struct {
	// RevocationBound is the time after which no daemon accepts a revoked key, even if it has
	// not received the revocation. 0 means that a daemon accepts the keys that it has.
	RevocationBound time.Duration
	// ConfirmedAt returns when the configuration was last known to be current.
	ConfirmedAt func() time.Time
}

// Caller returns the tenant that calls a route, or nil if the key is optional and not known. It
// fails with KindUnauthorized on an unknown key, and with KindUnavailable while keys may have
// been revoked without this daemon's knowledge.
func (g *Gate) Caller(table *route.Table, matched *route.Route, key string, now time.Time) (*tenant.Tenant, error) {
	return g.identify(table, matched.KeyOptional, key, now)
}

// JobCaller returns the tenant that reads or cancels a job under a host name. The key is
// optional if one of the host's job routes has an optional key.
func (g *Gate) JobCaller(table *route.Table, host, key string, now time.Time) (*tenant.Tenant, error) {
	isOptional := false
	for _, each := range table.JobRoutes() {
		isOptional = isOptional || (each.KeyOptional && each.IsOfHost(host))
	}
	return g.identify(table, isOptional, key, now)
}

func (g *Gate) identify(table *route.Table, isOptional bool, key string, now time.Time) (*tenant.Tenant, error) {
	tenants := table.Tenants()
	if tenants.Count() == 0 {
		return nil, nil
	}
	if age, isTrusted := g.trust(now); !isTrusted && !isOptional {
		return nil, failure.New(failure.KindUnavailable, "keys_unconfirmed", "the configuration was last confirmed %s ago: call another daemon", age.Round(time.Millisecond)).
			WithNotRun().WithRetryAfter(retryAfterUnconfirmed)
	}
	caller, isKnown := tenants.Identify(key)
	if !isKnown && !isOptional {
		return nil, failure.New(failure.KindUnauthorized, "unknown_key", "missing or unknown API key").WithNotRun()
	}
	return caller, nil
}

// trust returns the time since the last confirmation, and whether it is short enough for the
// keys to be accepted.
func (g *Gate) trust(now time.Time) (age time.Duration, isTrusted bool) {
	if g.RevocationBound <= 0 {
		return 0, true
	}
	age = now.Sub(g.ConfirmedAt())
	return age, age < g.RevocationBound-revocationReserve
}
