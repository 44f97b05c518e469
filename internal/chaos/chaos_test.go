package chaos_test

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/chaos"
)

// keptSeeds are seeds that found something, and one that is run in any case.
var keptSeeds = []uint64{1}

func TestKeptSeeds(t *testing.T) {
	for _, seed := range keptSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			summary, err := chaos.Run(chaos.Config{Seed: seed, Span: 12 * time.Second, Log: slog.New(slog.DiscardHandler)}, io.Discard)
			require.NoError(t, err)
			require.Positive(t, summary.Jobs)
		})
	}
}
