package silence_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/silence"
)

const (
	service   = "s"
	objective = 200 * time.Millisecond
)

// learn tells a book of answers between a time and twice that.
func learn(book *silence.Book, kind silence.Kind, count int, about time.Duration) {
	random := rand.New(rand.NewPCG(1, 2))
	for range count {
		book.Observe(service, kind, about+time.Duration(random.Int64N(int64(about))))
	}
}

// TestQuickServicesAreLeftSoon: work of 15 ms is not waited for through three objectives.
func TestQuickServicesAreLeftSoon(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindWhole, 500, 15*time.Millisecond)
	got := book.Of(service, silence.KindWhole, objective)
	require.InDelta(t, 30, got.Learned.Milliseconds(), 8, "the late quantile")
	require.InDelta(t, 50, got.Early.Milliseconds(), 12)
	require.Equal(t, 3*objective, got.Latest)
}

// TestSlowEverywhereRaisesPatience: in an overload another backend is as slow.
func TestSlowEverywhereRaisesPatience(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindWhole, 500, 15*time.Millisecond)
	learn(book, silence.KindWhole, 100, 300*time.Millisecond)
	require.Equal(t, 3*objective, book.Of(service, silence.KindWhole, objective).Early)
}

// TestOldTimesFade: the overload is over.
func TestOldTimesFade(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindWhole, 500, 300*time.Millisecond)
	learn(book, silence.KindWhole, 6000, 15*time.Millisecond)
	require.Less(t, book.Of(service, silence.KindWhole, objective).Early, objective/2)
}

// TestPatienceHasAFloor: answers of 1 ms say nothing of a daemon that is busy.
func TestPatienceHasAFloor(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindWhole, 500, time.Millisecond)
	require.Equal(t, objective/8, book.Of(service, silence.KindWhole, objective).Early)
}

// TestNothingLearnedYet: a fixed part of the objective, and for streams what the service
// may take.
func TestNothingLearnedYet(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindWhole, 20, 300*time.Millisecond)
	require.Equal(t, objective/2, book.Of(service, silence.KindWhole, objective).Early)
	require.Equal(t, 4*objective, book.Of(service, silence.KindFirstEvent, objective).Early)
}

// TestStreamsAreNotLeftBeforeTheyAreLate: a backend that reads a long prompt is silent.
func TestStreamsAreNotLeftBeforeTheyAreLate(t *testing.T) {
	book := silence.NewBook(silence.ModeLearned)
	learn(book, silence.KindFirstEvent, 500, 15*time.Millisecond)
	require.Equal(t, objective, book.Of(service, silence.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, book.Of(service, silence.KindWhole, objective).Latest, "kinds are learned apart")
}

// TestOtherModes are there to compare with.
func TestOtherModes(t *testing.T) {
	fixed, standing := silence.NewBook(silence.ModeFixed), silence.NewBook(silence.ModeObjectives)
	for _, book := range []*silence.Book{fixed, standing} {
		learn(book, silence.KindWhole, 500, 15*time.Millisecond)
	}
	require.Equal(t, objective/2, fixed.Of(service, silence.KindWhole, objective).Early)
	require.Equal(t, objective, fixed.Of(service, silence.KindFirstEvent, objective).Early)
	require.Equal(t, 3*objective, standing.Of(service, silence.KindWhole, objective).Early)
	require.Equal(t, 4*objective, standing.Of(service, silence.KindFirstEvent, objective).Early)
	require.False(t, silence.Mode("other").IsValid())
}
