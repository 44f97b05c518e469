package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/routing"
)

func drawCandidates(t *rapid.T) []routing.Candidate {
	candidates := []routing.Candidate{}
	for index := range rapid.IntRange(1, 8).Draw(t, "count") {
		candidates = append(candidates, routing.Candidate{
			ID: fmt.Sprintf("b%d", index), Slots: 4, Closed: rapid.Bool().Draw(t, "draining"), Ejected: rapid.Bool().Draw(t, "ejected"),
			Online: rapid.IntRange(0, 8).Draw(t, "online"), PendingTokens: rapid.IntRange(0, 50000).Draw(t, "pending"),
			UncachedTokens: rapid.IntRange(0, 20000).Draw(t, "uncached"),
		})
	}
	return candidates
}

// TestCostChoosesEligibleBackend: closed and excluded backends are never chosen,
// ejected ones only if no other is eligible.
func TestCostChoosesEligibleBackend(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		excluded := map[string]bool{}
		if rapid.Bool().Draw(t, "exclude") {
			excluded[candidates[0].ID] = true
		}
		possible, notEjected := 0, 0
		for _, candidate := range candidates {
			if !candidate.Closed && !excluded[candidate.ID] {
				possible++
				if !candidate.Ejected {
					notEjected++
				}
			}
		}
		prompt := []routing.PromptPart{{ID: "p", Tokens: 13000}, {ID: "own", Tokens: 100}}
		chosen, found := routing.ChooseByCost(routing.DefaultCostModel(), prompt, candidates, excluded, rand.New(rand.NewPCG(1, 2)))
		require.Equal(t, possible > 0, found)
		if !found {
			return
		}
		require.False(t, chosen.Closed)
		require.False(t, excluded[chosen.ID])
		require.False(t, chosen.Ejected && notEjected > 0)
	})
}

// TestUncachedPromptPartHasOneBackend: independent daemons send the first requests
// with a large shared part to the same backend, unless it is busy.
func TestUncachedPromptPartHasOneBackend(t *testing.T) {
	prompt := []routing.PromptPart{{ID: "manual", Tokens: 13000}, {ID: "own", Tokens: 100}}
	candidates := []routing.Candidate{}
	for index := range 12 {
		candidates = append(candidates, routing.Candidate{ID: fmt.Sprintf("b%d", index), Slots: 19, UncachedTokens: 13100})
	}
	chosenIDs := map[string]bool{}
	for seed := range uint64(20) {
		chosen, _ := routing.ChooseByCost(routing.DefaultCostModel(), prompt, candidates, nil, rand.New(rand.NewPCG(seed, seed)))
		chosenIDs[chosen.ID] = true
	}
	require.Len(t, chosenIDs, 1)
	for index := range candidates {
		if chosenIDs[candidates[index].ID] {
			candidates[index].PendingTokens = 60000
		}
	}
	chosen, _ := routing.ChooseByCost(routing.DefaultCostModel(), prompt, candidates, nil, rand.New(rand.NewPCG(1, 1)))
	require.False(t, chosenIDs[chosen.ID])
}

// TestConcurrentChoicesSpread: daemons that choose at the same moment from the same
// load data do not overload the backend with the lowest cost.
func TestConcurrentChoicesSpread(t *testing.T) {
	const backends, choices, slots = 72, 100, 9
	candidates := []routing.Candidate{}
	for index := range backends {
		candidates = append(candidates, routing.Candidate{ID: fmt.Sprintf("b%d", index), Slots: slots, Online: 2 + index%3, UncachedTokens: 600})
	}
	candidates[0].Online, candidates[1].Online = 0, slots
	counts := map[string]int{}
	for seed := range uint64(choices) {
		chosen, found := routing.ChooseByCost(routing.DefaultCostModel(), nil, candidates, nil, rand.New(rand.NewPCG(seed, seed)))
		require.True(t, found)
		counts[chosen.ID]++
	}
	require.Zero(t, counts["b1"], "a full backend gets no request while others have free slots")
	for _, candidate := range candidates {
		require.LessOrEqual(t, counts[candidate.ID], candidate.Slots-candidate.Online, candidate.ID)
	}
}

func TestCostRisesWithLoad(t *testing.T) {
	model := routing.DefaultCostModel()
	idle := routing.Candidate{Slots: 4}
	for _, busier := range []routing.Candidate{
		{Slots: 4, Online: 1}, {Slots: 4, Batch: 4}, {Slots: 4, Waiting: 2}, {Slots: 4, PendingTokens: 5000}, {Slots: 4, UncachedTokens: 5000},
	} {
		require.Greater(t, model.Cost(busier), model.Cost(idle))
	}
}

// TestOpenConnectionAndOwnZonePreferred: among candidates within the tolerance, those
// with an open connection come first, then those in the own zone, if a slot is free.
func TestOpenConnectionAndOwnZonePreferred(t *testing.T) {
	model := routing.DefaultCostModel()
	model.Zone = "here"
	candidates := []routing.Candidate{
		{ID: "far", Zone: "there", Slots: 4}, {ID: "near", Zone: "here", Slots: 4}, {ID: "kept", Zone: "there", Slots: 4, IsConnected: true},
	}
	random := rand.New(rand.NewPCG(1, 1))
	choose := func() string {
		chosen, found := routing.ChooseByCost(model, nil, candidates, nil, random)
		require.True(t, found)
		return chosen.ID
	}
	require.Equal(t, "kept", choose())
	candidates[2].Online = 4
	require.Equal(t, "near", choose())
	candidates[1].Online = 4
	require.Equal(t, "far", choose())
}

// TestLongPromptAvoidsOnlineRequests: a long prompt goes to a backend without online
// requests, even if that runs batch items; a short prompt does not.
func TestLongPromptAvoidsOnlineRequests(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	for tokens, expected := range map[int]string{60_000: "items", 1000: "stream"} {
		candidates := []routing.Candidate{
			{ID: "stream", Slots: 8, Online: 1, UncachedTokens: tokens},
			{ID: "items", Slots: 8, Batch: 16, UncachedTokens: tokens},
		}
		candidates[1].Slots = 20
		chosen, found := routing.ChooseByCost(routing.DefaultCostModel(), nil, candidates, nil, random)
		require.True(t, found)
		require.Equal(t, expected, chosen.ID, "%d tokens", tokens)
	}
}
