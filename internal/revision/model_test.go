package revision_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/revision"
	"topazpulley/internal/storage"
)

const operationsPerSecond = 1e9

// TestOneWinner checks that of two appends with the same base exactly one
// succeeds, also when answers are lost and the append is repeated.
func TestOneWinner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loseNextAnswer := false
		services := &emulator.InProcess{Platform: emulator.NewPlatform(), LoseAnswer: func() bool {
			lost := loseNextAnswer
			loseNextAnswer = false
			return lost
		}}
		log := revision.NewLog(storage.NewClient(services, operationsPerSecond))
		made := map[int64]string{}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			head, err := log.Head(t.Context())
			require.NoError(t, err)
			for operator := range 2 {
				operation := fmt.Sprintf("%d-%d", step, operator)
				change := revision.Change{Kind: revision.KindAccept, Subject: "s", Operator: fmt.Sprint(operator), OperationID: operation, Base: head.Number}
				loseNextAnswer = rapid.Bool().Draw(t, "lose")
				ctx, cancel := context.WithCancel(context.Background())
				time.AfterFunc(time.Millisecond, cancel)
				appended, err := log.Append(ctx, change, time.Now())
				if failure.Is(err, failure.KindUnavailable) || errors.Is(err, context.Canceled) {
					appended, err = log.Append(context.Background(), change, time.Now())
				}
				if err != nil {
					require.True(t, failure.HasCode(err, "revision_overtaken"), err)
					continue
				}
				require.Empty(t, made[appended.Number], "OneWinner: revision %d", appended.Number)
				made[appended.Number] = operation
			}
			require.Len(t, made, step+1)
		}
	})
}

// racingTable calls beforeWrite once before a transaction: after an operator has
// read the head and before its write.
type racingTable struct {
	*emulator.InProcess
	beforeWrite func()
}

// Transact implements storage.Table.
func (r *racingTable) Transact(ctx context.Context, transaction storage.Transaction) (storage.Version, error) {
	if beforeWrite := r.beforeWrite; beforeWrite != nil {
		r.beforeWrite = nil
		beforeWrite()
	}
	return r.InProcess.Transact(ctx, transaction)
}

func TestOneWinnerBetweenReadAndWrite(t *testing.T) {
	services := &racingTable{InProcess: &emulator.InProcess{Platform: emulator.NewPlatform()}}
	log := revision.NewLog(storage.NewClient(services, operationsPerSecond))
	change := func(operator string) (revision.Revision, error) {
		return log.Append(t.Context(), revision.Change{Kind: revision.KindAccept, Subject: "s", Operator: operator, OperationID: operator, Base: 0}, time.Now())
	}
	services.beforeWrite = func() {
		winner, err := change("first")
		require.NoError(t, err)
		require.Equal(t, int64(1), winner.Number)
	}
	_, err := change("second")
	require.True(t, failure.HasCode(err, "revision_overtaken"))
	require.ErrorContains(t, err, "first")
	head, err := log.Head(t.Context())
	require.NoError(t, err)
	require.Equal(t, "first", head.Operator)
}

// TestNeverReverts checks that the numbers of the current and the stored revision
// never decrease, whatever the order in which revisions arrive.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		holder := revision.NewHolder()
		highest, stored := int64(0), int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			number := rapid.Int64Range(1, 10).Draw(t, "number")
			if rapid.Bool().Draw(t, "store only") {
				holder.Store(revision.Revision{Number: number}, "")
			} else {
				_, err := holder.Apply(revision.Revision{Number: number}, "")
				require.NoError(t, err)
				highest = max(highest, number)
			}
			stored = max(stored, number)
			current, _ := holder.Current()
			kept, _ := holder.Stored()
			require.Equal(t, highest, current.Number)
			require.Equal(t, stored, kept.Number)
		}
	})
}

// TestQuorumsOverlap checks for all zone sizes that a read quorum contains a
// member of every store quorum other than the restarted member.
func TestQuorumsOverlap(t *testing.T) {
	for members := 2; members < 500; members++ {
		survivors := revision.StoreQuorum(members) - 1
		others := members - 1
		require.Greater(t, survivors+revision.ReadQuorum(members), others, "AllReachHead needs overlap among %d", members)
		require.LessOrEqual(t, revision.ReadQuorum(members), others+members%2, "a read quorum exists among %d", members)
	}
}

func TestWithdrawRestoresEarlierBundle(t *testing.T) {
	log := revision.NewLog(storage.NewClient(&emulator.InProcess{Platform: emulator.NewPlatform()}, operationsPerSecond))
	step := 0
	change := func(kind revision.Kind, subject string) (revision.Revision, error) {
		step++
		return log.Append(t.Context(), revision.Change{Kind: kind, Subject: subject, Operator: "o", OperationID: fmt.Sprint(step), Base: -1}, time.Now())
	}
	for _, subject := range []string{"one", "two"} {
		_, err := change(revision.KindAccept, subject)
		require.NoError(t, err)
		_, err = change(revision.KindRoll, subject)
		require.NoError(t, err)
	}
	_, err := change(revision.KindWithdraw, "one")
	require.True(t, failure.HasCode(err, "bundle_not_active"))
	withdrawn, err := change(revision.KindWithdraw, "two")
	require.NoError(t, err)
	require.Equal(t, "one", withdrawn.Active)
	require.Equal(t, int64(5), withdrawn.Number)
	_, err = change(revision.KindRoll, "two")
	require.True(t, failure.HasCode(err, "bundle_withdrawn"))
	_, err = change(revision.KindRoll, "never accepted")
	require.True(t, failure.HasCode(err, "bundle_not_accepted"))
}
