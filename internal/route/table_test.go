package route_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/route"
)

func compiled() *route.Table {
	target := func(service string) []route.Target { return []route.Target{{Service: service, Weight: 1}} }
	return route.Compile(route.Config{Version: 3, Routes: []route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/", Targets: target("s")},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Targets: target("s")},
		{Name: "other", Host: "b.example", Prefix: "/", Targets: target("s")},
	}})
}

func TestLongestPrefixMatches(t *testing.T) {
	cases := []struct{ host, path, name string }{
		{"a.example", "/x/z", "short"}, {"a.example", "/x/y/z", "long"}, {"A.Example:8080", "/x/", "short"},
		{"b.example", "/anything", "other"}, {"a.example", "/x", ""}, {"a.example", "/", ""}, {"c.example", "/x/", ""},
	}
	for _, each := range cases {
		matched, found := compiled().Match(each.host, each.path)
		require.Equal(t, each.name != "", found, each.host+each.path)
		if found {
			require.Equal(t, each.name, matched.Name)
		}
	}
}

func TestOlderVersionIsNotApplied(t *testing.T) {
	holder := &route.Holder{}
	require.Nil(t, holder.Current())
	require.True(t, holder.Apply(route.Config{Version: 5}, time.Now()))
	require.False(t, holder.Apply(route.Config{Version: 4}, time.Now()))
	require.False(t, holder.Apply(route.Config{Version: 5}, time.Now()))
	require.EqualValues(t, 5, holder.Current().Version())
}

// TestSplitByWeight checks that evenly spread numbers select each target by its weight.
func TestSplitByWeight(t *testing.T) {
	split := &route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for spread := range uint64(1000) {
		counts[split.Service(spread)]++
	}
	require.Equal(t, map[string]int{"a": 900, "b": 100}, counts)
}

// Guards against a stream that is resumed at a service whose weight was set to 0.
func TestServiceWithoutWeightIsNoTarget(t *testing.T) {
	split := &route.Route{Targets: []route.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 0}}}
	require.True(t, split.HasTarget("a"))
	require.False(t, split.HasTarget("b"))
	require.False(t, split.HasTarget("c"))
	unweighted := &route.Route{Targets: []route.Target{{Service: "a"}, {Service: "b"}}}
	require.True(t, unweighted.HasTarget(unweighted.Service(7)))
	require.False(t, unweighted.HasTarget("b"))
}
