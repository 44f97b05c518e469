package memory_test

import (
	"testing"

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
				sum += account.Used(purpose)
			}
			return sum
		}
		holdings := make([]memory.Allocation, 6)
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

// TestAnswersAreCountedBeyondTheLimit and keep large requests out meanwhile.
func TestAnswersAreCountedBeyondTheLimit(t *testing.T) {
	account := memory.NewAccount(100 * kilobyte)
	answer := account.Open(memory.PurposeAnswer)
	answer.Grow(300 * kilobyte)
	require.EqualValues(t, 300*kilobyte, account.Used(memory.PurposeAnswer))
	require.False(t, account.HasRoom(20*kilobyte))
	require.True(t, account.HasRoom(10*kilobyte))
	answer.Release()
	require.True(t, account.HasRoom(20*kilobyte))
}

// TestNoAccountCountsNothing.
func TestNoAccountCountsNothing(t *testing.T) {
	var none *memory.Account
	require.True(t, none.HasRoom(1<<30))
	held := none.Open(memory.PurposeAnswer)
	held.Grow(1 << 30)
	held.Release()
}
