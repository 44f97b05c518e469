package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/registry"
	"topazpulley/internal/routing"
)

var now = time.Unix(1000, 0)

func engineView(name string, online int) registry.Engine {
	return registry.Engine{
		Name: name, Known: true, Machine: registry.MachineRecord{Address: name, Service: "s"},
		Record: registry.EngineRecord{Up: true, State: "ready", Models: []string{"m@1"}},
		Load:   registry.LoadRecord{Online: online},
	}
}

// anyEngine draws an engine in a random state.
func anyEngine(t *rapid.T, index int) registry.Engine {
	view := engineView(fmt.Sprintf("e%d", index), rapid.IntRange(0, 40).Draw(t, "online"))
	view.Record.Up = rapid.Bool().Draw(t, "up")
	view.Machine.Leaving = rapid.Bool().Draw(t, "leaving")
	view.NetSince = rapid.IntRange(0, 5).Draw(t, "sent")
	if rapid.Bool().Draw(t, "other model") {
		view.Record.Models = []string{"other@1"}
	}
	if rapid.Bool().Draw(t, "ejected") {
		view.EjectedUntil = now.Add(time.Second)
	}
	return view
}

// TestChosenEngineIsEligible: every policy picks an engine if one is eligible, and
// none that is down, leaving, ejected, excluded, full or without the model.
func TestChosenEngineIsEligible(t *testing.T) {
	policies := []routing.Policy{routing.PolicyFull, routing.PolicyLagCorrected, routing.PolicyReportOnly, routing.PolicyLeastInFlight, routing.PolicyRoundRobin}
	rapid.Check(t, func(t *rapid.T) {
		engines := []registry.Engine{}
		for index := range rapid.IntRange(0, 8).Draw(t, "engines") {
			engines = append(engines, anyEngine(t, index))
		}
		request := routing.Request{Model: "m", OnlineLimit: 24, PrefixHash: rapid.Uint64().Draw(t, "prefix"), Excluded: map[string]bool{"e0": true}}
		eligible := routing.Eligible(request, engines, now)
		router := routing.NewRouter(rapid.SampledFrom(policies).Draw(t, "policy"), rand.New(rand.NewPCG(1, 2)))
		chosen, found := router.Choose(request, engines, now)
		require.Equal(t, len(eligible) > 0, found)
		if !found {
			return
		}
		require.True(t, chosen.Record.Up && !chosen.Machine.Leaving && chosen.Name != "e0")
		require.False(t, now.Before(chosen.EjectedUntil))
		require.True(t, chosen.HasModel("m"))
		require.Less(t, routing.Load(chosen), 24)
	})
}

// TestLeavingEngineIsNotChosen covers a leaving engine that is otherwise eligible,
// which the random engines above rarely are.
func TestLeavingEngineIsNotChosen(t *testing.T) {
	leaving := engineView("a", 1)
	request := routing.Request{Model: "m", OnlineLimit: 24}
	for _, policy := range []routing.Policy{routing.PolicyFull, routing.PolicyLagCorrected, routing.PolicyReportOnly, routing.PolicyLeastInFlight, routing.PolicyRoundRobin} {
		router := routing.NewRouter(policy, rand.New(rand.NewPCG(1, 2)))
		leaving.Machine.Leaving = false
		_, found := router.Choose(request, []registry.Engine{leaving}, now)
		require.True(t, found)
		leaving.Machine.Leaving = true
		_, found = router.Choose(request, []registry.Engine{leaving}, now)
		require.False(t, found)
	}
}

// TestPrefixAffinityIsBoundedByLoad: requests with one prefix go to one engine
// while its load is within the bound, and to another engine above it.
func TestPrefixAffinityIsBoundedByLoad(t *testing.T) {
	engines := []registry.Engine{engineView("a", 1), engineView("b", 1), engineView("c", 1), engineView("d", 1)}
	router := routing.NewRouter(routing.PolicyFull, rand.New(rand.NewPCG(1, 2)))
	request := routing.Request{Model: "m", PrefixHash: 42}
	preferred, _ := router.Choose(request, engines, now)
	for range 50 {
		again, _ := router.Choose(request, engines, now)
		require.Equal(t, preferred.Name, again.Name)
	}
	for index := range engines {
		if engines[index].Name == preferred.Name {
			engines[index].Load.Online = 30
		}
	}
	elsewhere, _ := router.Choose(request, engines, now)
	require.NotEqual(t, preferred.Name, elsewhere.Name)
}

// TestRemovedEngineMovesOnlyItsPrefixes: prefixes of other engines keep their engine.
func TestRemovedEngineMovesOnlyItsPrefixes(t *testing.T) {
	engines := []registry.Engine{}
	for index := range 10 {
		engines = append(engines, engineView(fmt.Sprintf("e%d", index), 0))
	}
	router := routing.NewRouter(routing.PolicyFull, rand.New(rand.NewPCG(1, 2)))
	moved, owned := 0, 0
	for hash := uint64(1); hash <= 500; hash++ {
		request := routing.Request{Model: "m", PrefixHash: hash * 0x9e3779b97f4a7c15}
		before, _ := router.Choose(request, engines, now)
		after, _ := router.Choose(request, engines[1:], now)
		if before.Name == "e0" {
			owned++
		} else if before.Name != after.Name {
			moved++
		}
	}
	require.Zero(t, moved)
	require.InDelta(t, 50, owned, 30)
}

func TestShortPromptHasNoPrefixHash(t *testing.T) {
	require.Zero(t, routing.PrefixHash("short"))
}

// TestEjectedEngineNeedsUseEjected: an ejected engine is chosen only if the request
// allows it, and an engine that is down never.
func TestEjectedEngineNeedsUseEjected(t *testing.T) {
	ejected, down := engineView("ejected", 0), engineView("down", 0)
	ejected.EjectedUntil = now.Add(time.Minute)
	down.Record.Up = false
	engines := []registry.Engine{ejected, down}
	router := routing.NewRouter(routing.PolicyFull, rand.New(rand.NewPCG(1, 2)))
	_, found := router.Choose(routing.Request{Model: "m"}, engines, now)
	require.False(t, found)
	chosen, found := router.Choose(routing.Request{Model: "m", UseEjected: true}, engines, now)
	require.True(t, found)
	require.Equal(t, "ejected", chosen.Name)
}
