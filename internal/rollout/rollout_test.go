package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/rollout"
)

// TestWaveKeepsTheBound: a wave never takes more serving engines out than the
// bound leaves, and a rollout always comes to its end.
func TestWaveKeepsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 4).Draw(t, "bound")
		engines := []rollout.Engine{}
		for index := range rapid.IntRange(1, 12).Draw(t, "engines") {
			engines = append(engines, rollout.Engine{
				Name: fmt.Sprint(index), Ready: rapid.Bool().Draw(t, "ready"),
				UpToDate: rapid.Bool().Draw(t, "up to date"), Fence: rapid.Int64Range(0, 5).Draw(t, "fence"),
			})
		}
		for range 2 * len(engines) {
			wave := rollout.NextWave(engines, 5, bound)
			requireWithinBound(t, engines, wave, bound)
			for index := range engines {
				for _, name := range wave {
					if engines[index].Name == name {
						engines[index].Fence, engines[index].UpToDate = 5, true
					}
				}
				engines[index].Ready = true
			}
		}
		require.Empty(t, rollout.NextWave(engines, 5, bound), "the rollout ends")
	})
}

func requireWithinBound(t *rapid.T, engines []rollout.Engine, wave []string, bound int) {
	unavailable, taken := 0, 0
	for _, engine := range engines {
		if !engine.Ready {
			unavailable++
		}
		for _, name := range wave {
			if engine.Name == name && engine.Ready && !engine.UpToDate {
				taken++
			}
		}
	}
	require.LessOrEqual(t, taken, max(bound-unavailable, 0))
}
