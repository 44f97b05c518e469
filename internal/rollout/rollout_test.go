package rollout_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/rollout"
)

// TestWaveKeepsUnavailableLimit checks that a wave does not take more ready engines out of
// service than the limit allows, and that a rollout completes.
func TestWaveKeepsUnavailableLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(t, "limit")
		engines := []rollout.Engine{}
		for index := range rapid.IntRange(1, 12).Draw(t, "engines") {
			engines = append(engines, rollout.Engine{
				Name: fmt.Sprint(index), Ready: rapid.Bool().Draw(t, "ready"),
				UpToDate: rapid.Bool().Draw(t, "up to date"), Fence: rapid.Int64Range(0, 5).Draw(t, "fence"),
			})
		}
		for range 2 * len(engines) {
			wave := rollout.NextWave(engines, 5, limit)
			requireWithinLimit(t, engines, wave, limit)
			for index := range engines {
				for _, name := range wave {
					if engines[index].Name == name {
						engines[index].Fence, engines[index].UpToDate = 5, true
					}
				}
				engines[index].Ready = true
			}
		}
		require.Empty(t, rollout.NextWave(engines, 5, limit), "the rollout has completed")
	})
}

func requireWithinLimit(t *rapid.T, engines []rollout.Engine, wave []string, limit int) {
	unavailable, removed := 0, 0
	for _, engine := range engines {
		if !engine.Ready {
			unavailable++
		}
		for _, name := range wave {
			if engine.Name == name && engine.Ready && !engine.UpToDate {
				removed++
			}
		}
	}
	require.LessOrEqual(t, removed, max(limit-unavailable, 0))
}
