package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
)

func getEngine(t require.TestingT, engines *registry.Registry) registry.Engine {
	view, found := engines.Engine("e")
	require.True(t, found)
	return view
}

// report applies a load report for the engine.
func report(engines *registry.Registry, online int) {
	engines.Apply(membership.Item{Key: registry.PrefixLoad + "e", Payload: registry.LoadRecord{Online: online}.Encode()})
}

// TestNetSinceCountsRequestsAfterReport checks that begins and ends after a load
// report are counted exactly once.
func TestNetSinceCountsRequestsAfterReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := registry.New()
		report(engines, 0)
		inFlight := 0
		for range rapid.IntRange(0, 50).Draw(t, "steps") {
			if inFlight > 0 && rapid.Bool().Draw(t, "end") {
				engines.End("e", false, time.Now())
				inFlight--
			} else {
				engines.Begin("e")
				inFlight++
			}
			require.Equal(t, inFlight, getEngine(t, engines).InFlight)
			require.Equal(t, inFlight, getEngine(t, engines).NetSince, "every request began after the report")
		}
	})
}

func TestFailuresEjectUntilSuccess(t *testing.T) {
	engines := registry.New()
	now := time.Now()
	engines.Apply(membership.Item{Key: registry.PrefixMachine + "e", Payload: registry.MachineRecord{Address: "a", Service: "s"}.Encode()})
	engines.Apply(membership.Item{Key: registry.PrefixEngine + "e", Payload: registry.EngineRecord{Up: true, State: "ready"}.Encode()})
	require.True(t, getEngine(t, engines).Serving(now))
	for range 2 {
		engines.Begin("e")
		engines.End("e", true, now)
	}
	require.False(t, getEngine(t, engines).Serving(now))
	require.True(t, getEngine(t, engines).Serving(now.Add(time.Second)))
	engines.Begin("e")
	engines.End("e", false, now)
	require.True(t, getEngine(t, engines).Serving(now))
}

func TestRemovedAndLeavingEnginesDoNotServe(t *testing.T) {
	engines := registry.New()
	machine := func(record registry.MachineRecord) {
		engines.Apply(membership.Item{Key: registry.PrefixMachine + "e", Payload: record.Encode()})
	}
	machine(registry.MachineRecord{Address: "a", Service: "s"})
	require.Len(t, engines.OfService("s"), 1)
	machine(registry.MachineRecord{Address: "a", Service: "s", Leaving: true})
	require.False(t, getEngine(t, engines).Serving(time.Now()))
	machine(registry.MachineRecord{Removed: true})
	require.Empty(t, engines.OfService("s"))
}
