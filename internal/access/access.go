// Package access decides who calls: which tenant holds the key that came with a
// call, and whether the daemon may still trust the keys that it knows.
package access

import (
	"time"

	"topazpulley/internal/failure"
	"topazpulley/internal/route"
	"topazpulley/internal/tenant"
)

const (
	// revocationReserve is kept of the bound on taken-away keys: a call that is
	// let in still has to reach a backend.
	revocationReserve = 500 * time.Millisecond
	// retryAfterUnconfirmed is the advice to callers of a daemon whose keys may
	// be out of date; another daemon may serve them at once.
	retryAfterUnconfirmed = 300 * time.Millisecond
)

// Gate identifies callers.
type Gate struct {
	// RevocationBound is the time after which no daemon may let in a key that
	// was taken away, whether or not it has heard of that; 0 means that a daemon
	// goes on with the keys that it knows.
	RevocationBound time.Duration
	// ConfirmedAt returns when the configuration was last known to be the
	// present one.
	ConfirmedAt func() time.Time
}

// Caller returns the tenant that calls a route, or nil where none is needed and
// none is known. It fails with KindUnauthorized on a key that is not known, and
// with KindUnavailable while keys may have been taken away unnoticed.
func (g *Gate) Caller(table *route.Table, matched *route.Route, key string, now time.Time) (*tenant.Tenant, error) {
	return g.identify(table, matched.KeyOptional, key, now)
}

// JobCaller returns the tenant that reads or ends a job under a host name. No
// key is needed if a job route of the host needs none.
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
		return nil, failure.New(failure.KindUnauthorized, "unknown_key", "send an API key of the present configuration").WithNotRun()
	}
	return caller, nil
}

// trust reports whether keys that were taken away would be known here.
func (g *Gate) trust(now time.Time) (age time.Duration, isTrusted bool) {
	if g.RevocationBound <= 0 {
		return 0, true
	}
	age = now.Sub(g.ConfirmedAt())
	return age, age < g.RevocationBound-revocationReserve
}
