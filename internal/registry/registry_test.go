package registry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
)

func known(t require.TestingT, engines *registry.Registry) registry.Engine {
	view, found := engines.Engine("e")
	require.True(t, found)
	return view
}

func report(engines *registry.Registry, online int) {
	engines.Apply(membership.Item{Key: registry.PrefixLoad + "e", Payload: registry.LoadRecord{Online: online}.Encode()})
}

// TestNetSinceCountsWhatTheReportCannotKnow: begins and ends after a report
// move the estimate both ways, and nothing is counted twice.
func TestNetSinceCountsWhatTheReportCannotKnow(t *testing.T) {
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
			require.Equal(t, inFlight, known(t, engines).InFlight)
			require.Equal(t, inFlight, known(t, engines).NetSince, "all of it is newer than the report")
		}
	})
}

func TestFailuresEjectAndASuccessForgives(t *testing.T) {
	engines := registry.New()
	now := time.Now()
	engines.Apply(membership.Item{Key: registry.PrefixMachine + "e", Payload: registry.MachineRecord{Address: "a", Service: "s"}.Encode()})
	engines.Apply(membership.Item{Key: registry.PrefixEngine + "e", Payload: registry.EngineRecord{Up: true, State: "ready"}.Encode()})
	require.True(t, known(t, engines).Serving(now))
	for range 2 {
		engines.Begin("e")
		engines.End("e", true, now)
	}
	require.False(t, known(t, engines).Serving(now))
	require.True(t, known(t, engines).Serving(now.Add(time.Second)))
	engines.Begin("e")
	engines.End("e", false, now)
	require.True(t, known(t, engines).Serving(now))
}

func TestRemovedAndLeavingEnginesDoNotServe(t *testing.T) {
	engines := registry.New()
	machine := func(record registry.MachineRecord) {
		engines.Apply(membership.Item{Key: registry.PrefixMachine + "e", Payload: record.Encode()})
	}
	machine(registry.MachineRecord{Address: "a", Service: "s"})
	require.Len(t, engines.OfService("s"), 1)
	machine(registry.MachineRecord{Address: "a", Service: "s", Leaving: true})
	require.False(t, known(t, engines).Serving(time.Now()))
	machine(registry.MachineRecord{Removed: true})
	require.Empty(t, engines.OfService("s"))
}
