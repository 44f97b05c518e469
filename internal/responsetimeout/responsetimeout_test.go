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

// learn tells a book of answers between a time and twice that.
func learn(book *responsetimeout.Estimates, kind responsetimeout.Kind, count int, about time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		book.Observe(service, kind, about+time.Duration(random.Int64N(int64(about))))
	}
}

// TestQuickServicesAreLeftSoon: work of 15 ms is not waited for through three objectives.
func TestQuickServicesAreLeftSoon(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	got := book.For(service, responsetimeout.KindComplete, objective)
	require.InDelta(t, 30, got.Learned.Milliseconds(), 8, "the late quantile")
	require.InDelta(t, 50, got.Early.Milliseconds(), 12)
	require.Equal(t, 3*objective, got.Latest)
}

// TestSlowEverywhereRaisesPatience: in an overload another backend is as slow.
func TestSlowEverywhereRaisesPatience(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	learn(book, responsetimeout.KindComplete, 100, 300*time.Millisecond)
	require.Equal(t, 3*objective, book.For(service, responsetimeout.KindComplete, objective).Early)
}

// TestOldTimesFade: the overload is over.
func TestOldTimesFade(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindComplete, 500, 300*time.Millisecond)
	learn(book, responsetimeout.KindComplete, 6000, 15*time.Millisecond)
	require.Less(t, book.For(service, responsetimeout.KindComplete, objective).Early, objective/2)
}

// TestPatienceHasAFloor: answers of 1 ms say nothing of a daemon that is busy.
func TestPatienceHasAFloor(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindComplete, 500, time.Millisecond)
	require.Equal(t, objective/8, book.For(service, responsetimeout.KindComplete, objective).Early)
}

// TestNothingLearnedYet: a fixed part of the objective, and for streams what the service
// may take.
func TestNothingLearnedYet(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindComplete, 20, 300*time.Millisecond)
	require.Equal(t, objective/2, book.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, 4*objective, book.For(service, responsetimeout.KindFirstEvent, objective).Early)
}

// TestStreamsAreNotLeftBeforeTheyAreLate: a backend that reads a long prompt is silent.
func TestStreamsAreNotLeftBeforeTheyAreLate(t *testing.T) {
	book := responsetimeout.NewEstimates(responsetimeout.ModeLearned)
	learn(book, responsetimeout.KindFirstEvent, 500, 15*time.Millisecond)
	require.Equal(t, objective, book.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, book.For(service, responsetimeout.KindComplete, objective).Latest, "kinds are learned apart")
}

// TestOtherModes are there to compare with.
func TestOtherModes(t *testing.T) {
	fixed, standing := responsetimeout.NewEstimates(responsetimeout.ModeFixed), responsetimeout.NewEstimates(responsetimeout.ModeObjectives)
	for _, book := range []*responsetimeout.Estimates{fixed, standing} {
		learn(book, responsetimeout.KindComplete, 500, 15*time.Millisecond)
	}
	require.Equal(t, objective/2, fixed.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, objective, fixed.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, standing.For(service, responsetimeout.KindComplete, objective).Early)
	require.Equal(t, 4*objective, standing.For(service, responsetimeout.KindFirstEvent, objective).Early)
	require.False(t, responsetimeout.Mode("other").IsValid())
}
