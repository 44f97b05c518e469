package access_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/access"
	"topazpulley/internal/failure"
	"topazpulley/internal/route"
	"topazpulley/internal/tenant"
)

const host = "h.example"

var now = time.Unix(1000, 0)

func compiled(tenants ...tenant.Tenant) *route.Table {
	return route.Compile(route.Config{Version: 1, Tenants: tenants, Routes: []route.Route{
		{Name: "closed", Host: host, Prefix: "/closed/", Targets: []route.Target{{Service: "s"}}},
		{Name: "open", Host: host, Prefix: "/open/", KeyOptional: true, Targets: []route.Target{{Service: "s"}}},
		{Name: "jobs", Host: host, Prefix: "/jobs/", Kind: route.KindJob, Targets: []route.Target{{Service: "s"}}},
		{Name: "open jobs", Host: "open.example", Prefix: "/jobs/", Kind: route.KindJob, KeyOptional: true, Targets: []route.Target{{Service: "s"}}},
	}})
}

func holderOf(key string) tenant.Tenant {
	return tenant.Tenant{Name: "holder of " + key, Keys: []tenant.Digest{tenant.DigestOf(key)}}
}

// TestCallersNeedKeyIfTenantsExist fails if a call without a valid key is accepted on a route
// that needs one, or a caller isn't identified.
func TestCallersNeedKeyIfTenantsExist(t *testing.T) {
	gate := &access.Gate{}
	table := compiled(holderOf("k"))
	cases := []struct {
		path, key, name string
		isRefused       bool
	}{
		{path: "/closed/", key: "k", name: "holder of k"},
		{path: "/closed/", key: "other", isRefused: true},
		{path: "/closed/", isRefused: true},
		{path: "/open/", key: "k", name: "holder of k"},
		{path: "/open/", key: "other"},
		{path: "/open/"},
	}
	for _, each := range cases {
		matched, _ := table.Match(host, each.path)
		caller, err := gate.Caller(table, matched, each.key, now)
		if each.isRefused {
			require.True(t, failure.Is(err, failure.KindUnauthorized), each)
			require.NotContains(t, err.Error(), "other", "the error contains the key")
			continue
		}
		require.NoError(t, err)
		if each.name == "" {
			require.Nil(t, caller)
			continue
		}
		require.Equal(t, each.name, caller.Name)
	}
}

// TestCallsWithoutTenantsAreAccepted fails if a key is required though no tenants are
// configured.
func TestCallsWithoutTenantsAreAccepted(t *testing.T) {
	gate := &access.Gate{}
	matched, _ := compiled().Match(host, "/closed/")
	caller, err := gate.Caller(compiled(), matched, "any", now)
	require.NoError(t, err)
	require.Nil(t, caller)
}

// TestJobCallers fails if a call about a job isn't checked by the job routes of its host.
func TestJobCallers(t *testing.T) {
	gate := &access.Gate{}
	table := compiled(holderOf("k"))
	_, err := gate.JobCaller(table, host, "", now)
	require.True(t, failure.Is(err, failure.KindUnauthorized))
	caller, err := gate.JobCaller(table, host+":80", "k", now)
	require.NoError(t, err)
	require.Equal(t, "holder of k", caller.Name)
	caller, err = gate.JobCaller(table, "open.example", "", now)
	require.NoError(t, err)
	require.Nil(t, caller)
}

// TestUnconfirmedKeysAreRefused fails if a daemon that may have missed a revocation accepts a
// call, or doesn't report that nothing ran.
func TestUnconfirmedKeysAreRefused(t *testing.T) {
	table := compiled(holderOf("k"))
	matched, _ := table.Match(host, "/closed/")
	confirmed := now
	gate := &access.Gate{RevocationBound: 5 * time.Second, ConfirmedAt: func() time.Time { return confirmed }}
	_, err := gate.Caller(table, matched, "k", now.Add(4*time.Second))
	require.NoError(t, err)
	_, err = gate.Caller(table, matched, "k", now.Add(4600*time.Millisecond))
	failed := failure.From(err)
	require.Equal(t, failure.KindUnavailable, failed.Kind)
	require.True(t, failed.NotRun)
	require.Positive(t, failed.RetryAfter)
	confirmed = now.Add(4 * time.Second)
	_, err = gate.Caller(table, matched, "k", now.Add(4600*time.Millisecond))
	require.NoError(t, err)
	unbounded := &access.Gate{ConfirmedAt: func() time.Time { return time.Time{} }}
	_, err = unbounded.Caller(table, matched, "k", now)
	require.NoError(t, err)
}
