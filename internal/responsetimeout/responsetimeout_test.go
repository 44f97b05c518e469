package responsetimeout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/responsetimeout"
)

const (
	service   = "s"
	objective = 200 * time.Millisecond
)

// learn records count response times between about and twice that.
func learn(estimates *responsetimeout.Estimates, kind responsetimeout.Kind, count int, about time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		estimates.Observe(service, kind, about+time.Duration(random.Int64N(int64(about))))
	}
}

// TestFastServiceHasShortTimeout: the timeout of a fast service is far below three objectives.
func TestFastServiceHasShortTimeout(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	got := estimates.For(service, responsetimeout.KindComplete, objective)
	require.InDelta(t, 30, got.Learned.Milliseconds(), 8, "the 0.99 quantile")
	require.InDelta(t, 50, got.Early.Milliseconds(), 12)
	require.Equal(t, 3*objective, got.Latest)
}

// TestSlowServiceRaisesTimeout: a service that is slow at all backends is not retried early.
func TestSlowServiceRaisesTimeout(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	learn(estimates, responsetimeout.KindComplete, 100, 300*time.Millisecond)
	require.Equal(t, 3*objective, estimates.For(service, responsetimeout.KindComplete, objective).Early)
}

// TestOldTimesDecay: after an overload the timeout gets short again.
func TestOldTimesDecay(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindComplete, 500, 300*time.Millisecond)
	learn(estimates, responsetimeout.KindComplete, 6000, 15*time.Millisecond)
	require.Less(t, estimates.For(service, responsetimeout.KindComplete, objective).Early, objective/2)
}

// TestTimeoutHasMinimum: very fast responses do not make the timeout too short.
func TestTimeoutHasMinimum(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindComplete, 500, time.Millisecond)
	require.Equal(t, objective/8, estimates.For(service, responsetimeout.KindComplete, objective).Early)
}

// TestTooFewSamples: the timeout is a fixed fraction of the objective, or the longest
// timeout for streams.
func TestTooFewSamples(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindComplete, 20, 300*time.Millisecond)
	require.Equal(t, objective/2, estimates.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, 4*objective, estimates.For(service, responsetimeout.KindFirstEvent, objective).Early)
}

// TestStreamTimeoutIsAtLeastObjective: a backend that processes a long prompt sends nothing.
func TestStreamTimeoutIsAtLeastObjective(t *testing.T) {
	estimates := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(estimates, responsetimeout.KindFirstEvent, 500, 15*time.Millisecond)
	require.Equal(t, objective, estimates.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, estimates.For(service, responsetimeout.KindComplete, objective).Latest, "kinds are separate")
}

// TestOtherModes covers the modes without learned timeouts.
func TestOtherModes(t *testing.T) {
	fixed, objectives := responsetimeout.NewEstimates(responsetimeout.ModeFixed), responsetimeout.NewEstimates(responsetimeout.ModeObjectives)
	for _, estimates := range []*responsetimeout.Estimates{fixed, objectives} {
		learn(estimates, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	}
	require.Equal(t, objective/2, fixed.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, objective, fixed.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, objectives.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, 4*objective, objectives.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.False(t, responsetimeout.Mode("other").IsValid())
}
