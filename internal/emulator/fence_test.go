package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/engine"
)

// TestFenceNeverDecreases checks that delayed, repeated or stale orders do not decrease an
// engine's fence.
func TestFenceNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		emulated := NewEngine("e", "z", "s", false, DefaultEngineModel())
		highest := int64(0)
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			fence := rapid.Int64Range(1, 6).Draw(t, "fence")
			code := emulated.order(t.Context(), engine.Order{Fence: fence})
			require.Equal(t, fence < highest, code == engine.RefusalStaleFence)
			highest = max(highest, fence)
			require.Equal(t, highest, emulated.currentReport().Fence)
		}
	})
}
