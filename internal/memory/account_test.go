package memory_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/memory"
)

const kilobyte = 1 << 10

// TestAccountStaysWithinItsLimit whatever is held and given back, but for small
// holdings, and comes back to nothing.
func TestAccountStaysWithinItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 500 * kilobyte
		account := memory.NewAccount(limit)
		total := func() int64 {
			sum := int64(0)
			for _, purpose := range memory.Purposes() {
				sum += account.Held(purpose)
			}
			return sum
		}
		holdings := make([]memory.Holding, 6)
		for index := range holdings {
			holdings[index] = account.Open(memory.Purposes()[index%3])
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			held := &holdings[rapid.IntRange(0, len(holdings)-1).Draw(t, "holding")]
			if rapid.Bool().Draw(t, "release") {
				held.Release()
			} else {
				held.TryGrow(rapid.IntRange(0, 200*kilobyte).Draw(t, "size"))
			}
			require.LessOrEqual(t, total(), int64(limit+len(holdings)*16*kilobyte))
		}
		for index := range holdings {
			holdings[index].Release()
		}
		require.Zero(t, total())
	})
}

// reader is one that reads nothing.
type reader struct {
	since   time.Time
	holding *memory.Holding
	isCut   bool
}

func (r *reader) StalledSince() time.Time { return r.since }

func (r *reader) Cut() {
	r.isCut = true
	r.holding.Release()
}

// TestSlowestReaderIsCutForOthers and only once somebody waits for what it holds.
func TestSlowestReaderIsCutForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := memory.NewAccount(100 * kilobyte)
		readers := []*reader{}
		for _, stalled := range []time.Duration{0, time.Second, 3 * time.Second} {
			holding := account.Open(memory.PurposeUnread)
			require.True(t, holding.TryGrow(33*kilobyte))
			readers = append(readers, &reader{since: time.Now().Add(-stalled), holding: &holding})
			account.Watch(readers[len(readers)-1])
		}
		wanted := account.Open(memory.PurposeAnswer)
		require.False(t, wanted.TryGrow(20*kilobyte))
		require.False(t, readers[2].isCut)
		bounded, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(t, wanted.Grow(bounded, 20*kilobyte))
		require.Equal(t, []bool{false, false, true}, []bool{readers[0].isCut, readers[1].isCut, readers[2].isCut})
	})
}

// TestWaitForMemoryEnds with the context, and says for what.
func TestWaitForMemoryEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		account := memory.NewAccount(100 * kilobyte)
		first := account.Open(memory.PurposeRequest)
		require.True(t, first.TryGrow(90*kilobyte))
		bounded, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		second := account.Open(memory.PurposeAnswer)
		var full *memory.FullError
		require.ErrorAs(t, second.Grow(bounded, 50*kilobyte), &full)
		require.Equal(t, memory.PurposeAnswer, full.Purpose)
	})
}

// TestNoAccountCountsNothing.
func TestNoAccountCountsNothing(t *testing.T) {
	var none *memory.Account
	held := none.Open(memory.PurposeAnswer)
	require.NoError(t, held.Grow(context.Background(), 1<<30))
	held.Release()
}
