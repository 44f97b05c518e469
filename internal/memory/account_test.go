package memory_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/memory"
)

const kilobyte = 1 << 10

// TestAccountStaysWithinLimit fails if allocations exceed the limit by more than the small
// ones, or bytes remain counted after all are released.
func TestAccountStaysWithinLimit(t *testing.T) {
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
		allocations := make([]memory.Allocation, 6)
		for index := range allocations {
			allocations[index] = account.Open(memory.Purposes()[index%3])
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			allocation := &allocations[rapid.IntRange(0, len(allocations)-1).Draw(t, "allocation")]
			if rapid.Bool().Draw(t, "release") {
				allocation.Release()
			} else {
				allocation.TryGrow(rapid.IntRange(0, 200*kilobyte).Draw(t, "size"))
			}
			require.LessOrEqual(t, total(), int64(limit+len(allocations)*16*kilobyte))
		}
		for index := range allocations {
			allocations[index].Release()
		}
		require.Zero(t, total())
	})
}

// TestAnswersAreCountedBeyondLimit fails if answers beyond the limit aren't counted, or don't
// block large requests.
func TestAnswersAreCountedBeyondLimit(t *testing.T) {
	account := memory.NewAccount(100 * kilobyte)
	answer := account.Open(memory.PurposeAnswer)
	answer.Grow(300 * kilobyte)
	require.EqualValues(t, 300*kilobyte, account.Used(memory.PurposeAnswer))
	require.False(t, account.HasRoom(20*kilobyte))
	require.True(t, account.HasRoom(10*kilobyte))
	answer.Release()
	require.True(t, account.HasRoom(20*kilobyte))
}

// TestLongAnswersWaitForTheirShare fails if answers that tell their length take more than their share
// of the limit, leave nothing for requests, wait for ever or are refused although they fit.
func TestLongAnswersWaitForTheirShare(t *testing.T) {
	const megabyte = 1 << 20
	account := memory.NewAccount(8 * megabyte)
	first, second, third := account.Open(memory.PurposeAnswer), account.Open(memory.PurposeAnswer), account.Open(memory.PurposeAnswer)
	require.NoError(t, first.Reserve(t.Context(), 4*megabyte))
	ended, end := context.WithCancel(t.Context())
	end()
	require.ErrorIs(t, second.Reserve(ended, 4*megabyte), context.Canceled)
	var tooLong *memory.TooLongError
	require.ErrorAs(t, second.Reserve(t.Context(), 7*megabyte), &tooLong)
	require.NoError(t, third.Reserve(t.Context(), memory.AssuredBytes), "an answer of assured size waits")
	request := account.Open(memory.PurposeRequest)
	require.True(t, request.TryGrow(megabyte))
	reserved := make(chan error)
	go func() { reserved <- second.Reserve(t.Context(), 4*megabyte) }()
	first.Release()
	require.NoError(t, <-reserved)
	require.EqualValues(t, 5*megabyte, account.Used(memory.PurposeAnswer))
	second.Release()
	third.Release()
	require.Zero(t, account.Used(memory.PurposeAnswer))
	without := memory.NewAccount(0)
	free := without.Open(memory.PurposeAnswer)
	require.NoError(t, free.Reserve(t.Context(), 100*megabyte), "without a limit")
}

// TestNilAccountCountsNothing fails if a nil account panics or refuses an allocation.
func TestNilAccountCountsNothing(t *testing.T) {
	var none *memory.Account
	require.True(t, none.HasRoom(1<<30))
	allocation := none.Open(memory.PurposeAnswer)
	allocation.Grow(1 << 30)
	allocation.Release()
}
