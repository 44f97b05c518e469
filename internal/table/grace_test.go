package table_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
)

// graceBounds are the bounds of a backend's entry: requests may reach it for 2 s after it has left.
var graceBounds = table.AbsenceBounds{Present: 1800 * time.Millisecond, Return: 2250 * time.Millisecond, Outage: 3 * time.Second}

// disturbedStore answers late, and refuses calls for a time.
type disturbedStore struct {
	idleStore
	lateness time.Duration
	// refusesUntil is the end of the refusals in Unix nanoseconds.
	refusesUntil atomic.Int64
}

func (s *disturbedStore) Watch(ctx context.Context, name string, after table.Version, wait time.Duration) (table.Changes, error) {
	if time.Now().UnixNano() < s.refusesUntil.Load() {
		return table.Changes{}, &table.Error{Kind: table.ErrorNotDone, Call: "watch"}
	}
	changes, err := s.idleStore.Watch(ctx, name, after, wait)
	select {
	case <-ctx.Done():
		return table.Changes{}, &table.Error{Kind: table.ErrorUnknown, Call: "watch", Cause: ctx.Err()}
	case <-time.After(s.lateness):
	}
	return changes, err
}

// refuse makes the store refuse calls from now on for a time.
func (s *disturbedStore) refuse(span time.Duration) {
	s.refusesUntil.Store(time.Now().Add(span).UnixNano())
}

// mourner records when it heard that the row "left" went, and the grace that was given.
type mourner struct {
	recorder
	follower *table.Follower
	heardAt  time.Time
	until    time.Time
}

func (m *mourner) Change(rows []table.Row, version table.Version) {
	m.recorder.Change(rows, version)
	for _, row := range rows {
		if row.Deleted && m.heardAt.IsZero() {
			m.heardAt = time.Now()
			m.until = time.Now().Add(m.follower.Grace().Left())
		}
	}
}

// followDisturbed starts a follower of a store that has the row "left".
func followDisturbed(ctx context.Context, lateness time.Duration) (*disturbedStore, *tabletest.Memory, *mourner) {
	memory := tabletest.NewMemory()
	putRow(memory, "left")
	store := &disturbedStore{idleStore: idleStore{memory}, lateness: lateness}
	consumer := &mourner{}
	consumer.follower = &table.Follower{Store: store, Table: followedTable, Consumer: consumer, Logger: discardLogger, Wait: followWait, Clock: virtualNow, Bounds: graceBounds}
	go consumer.follower.Run(ctx)
	return store, memory, consumer
}

func putRow(memory *tabletest.Memory, key string) {
	_, _ = memory.Commit(context.Background(), table.Transaction{Writes: []table.Write{{Table: followedTable, Key: key, Value: []byte("v")}}})
}

func removeRow(memory *tabletest.Memory, key string) {
	_, _ = memory.Commit(context.Background(), table.Transaction{Removals: []table.Removal{{Table: followedTable, Key: key}}})
}

// Guards against a grace that ends over the bound after a sound store has acknowledged a removal, because
// this daemon's calls were late or refused before, meanwhile or after.
func TestGraceOfRemovedRowEndsWithinBound(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		milliseconds := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(drawn, name)) * time.Millisecond
		}
		lateness, calm := milliseconds("lateness", 2000), milliseconds("calm", 8000)
		refusedBefore, pause, refusedAfter := milliseconds("refused before", 600), milliseconds("pause", 1000), milliseconds("refused after", 600)
		var heardAfter, usedFor time.Duration
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store, memory, consumer := followDisturbed(ctx, lateness)
			time.Sleep(2*time.Second + calm)
			store.refuse(refusedBefore)
			time.Sleep(pause)
			removeRow(memory, "left")
			removedAt := time.Now()
			store.refuse(refusedAfter)
			time.Sleep(10 * time.Second)
			cancel()
			synctest.Wait()
			heardAfter, usedFor = consumer.heardAt.Sub(removedAt), consumer.until.Sub(removedAt)
		})
		require.GreaterOrEqual(drawn, heardAfter, time.Duration(0), "it heard")
		require.LessOrEqual(drawn, usedFor, max(heardAfter, graceBounds.Present))
	})
}

// Guards against taking rows for removed ones that expired while the store refused every call, before
// their owners can have written them again.
func TestGraceLastsUntilExpiredRowsAreBack(t *testing.T) {
	for _, away := range []time.Duration{4500 * time.Millisecond, 7 * time.Second, 30 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store, memory, consumer := followDisturbed(ctx, 5*time.Millisecond)
			time.Sleep(5 * time.Second)
			store.refuse(away)
			time.Sleep(away - time.Second)
			removeRow(memory, "left")
			time.Sleep(3 * time.Second)
			require.False(t, consumer.heardAt.IsZero())
			require.GreaterOrEqual(t, consumer.until.Sub(consumer.heardAt), 2*time.Second)
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a table that a late but sound store never confirms: a call that waits for changes and is
// late as well would never be answered in time.
func TestLateStoreConfirms(t *testing.T) {
	for _, lateness := range []time.Duration{800 * time.Millisecond, 2 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			_, _, consumer := followDisturbed(ctx, lateness)
			time.Sleep(10 * time.Second)
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				require.Less(t, consumer.follower.Age(), 2*lateness+4*time.Second)
			}
			cancel()
			synctest.Wait()
		})
	}
}
