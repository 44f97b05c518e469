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

// regressionSeeds are the seeds of runs that found faults, and a default seed.
var regressionSeeds = []uint64{1}

func TestRegressionSeeds(t *testing.T) {
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			summary, err := chaos.Run(chaos.Config{Seed: seed, Span: 12 * time.Second, Log: slog.New(slog.DiscardHandler)}, io.Discard)
			require.NoError(t, err)
			require.Positive(t, summary.Jobs)
		})
	}
}
