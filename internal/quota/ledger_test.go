package quota

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/failure"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
	"topazpulley/internal/telemetry"
)

const testAccount = "route"

// stored reads an account's rows: the total and the reservations by job.
func stored(t require.TestingT, store Store) (totalRow, map[string]reservationRow) {
	total := totalRow{}
	page, err := store.Read(context.Background(), table.Range{Table: tableTotal, Partition: testAccount})
	require.NoError(t, err)
	for _, row := range page.Rows {
		require.NoError(t, json.Unmarshal(row.Value, &total))
	}
	page, err = store.Read(context.Background(), table.Range{Table: tableReservation, Partition: testAccount})
	require.NoError(t, err)
	held := map[string]reservationRow{}
	for _, row := range page.Rows {
		read := reservationRow{}
		require.NoError(t, json.Unmarshal(row.Value, &read))
		held[row.Key] = read
	}
	return total, held
}

// requireSum checks that the total is the sum of the reservations.
func requireSum(t require.TestingT, store Store) int64 {
	total, held := stored(t, store)
	sum := int64(0)
	for _, each := range held {
		sum += each.Tokens
	}
	require.Equal(t, sum, total.Waiting)
	return sum
}

// TestTotalNeverPassesTheLimit: several daemons reserve, settle and release in
// any order over a store that refuses, loses answers and carries calls out
// late. The total stays the sum of the reservations, no reservation passes the
// limit, and a job that was granted is counted once.
func TestTotalNeverPassesTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 100
		store := tabletest.NewMemory()
		ledgers := []*ledger{newLedger(store, testAccount), newLedger(store, testAccount), newLedger(store, testAccount)}
		faults := rapid.SliceOfN(rapid.SampledFrom([]tabletest.Fault{
			tabletest.FaultNone, tabletest.FaultNone, tabletest.FaultRefuse, tabletest.FaultLose, tabletest.FaultLate,
		}), 4, 40).Draw(t, "faults")
		calls := 0
		store.SetDecide(func(call string) tabletest.Fault {
			if call != "commit" {
				return tabletest.FaultNone
			}
			calls++
			return faults[calls%len(faults)]
		})
		steps := rapid.IntRange(1, 25).Draw(t, "steps")
		for range steps {
			held := ledgers[rapid.IntRange(0, len(ledgers)-1).Draw(t, "daemon")]
			operation := Operation{
				Kind: rapid.SampledFrom([]Kind{KindReserve, KindReserve, KindSettle, KindRelease}).Draw(t, "kind"),
				Job:  fmt.Sprint("job", rapid.IntRange(0, 5).Draw(t, "job")), Tokens: rapid.Int64Range(1, 60).Draw(t, "tokens"),
				Holder: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder"),
			}
			if operation.Kind == KindSettle {
				// An owner only ever lowers what was granted.
				_, reservations := stored(t, store)
				operation.Tokens = min(operation.Tokens/2, reservations[operation.Job].Tokens)
			}
			tryOnce(held, Limit{Tokens: limit, Config: 1}, operation)
			if rapid.Bool().Draw(t, "late calls arrive") {
				store.Settle()
			}
			require.LessOrEqual(t, requireSum(t, store), int64(limit))
		}
	})
}

// tryOnce commits an operation with a few tries, as a call that gives up does.
func tryOnce(held *ledger, limit Limit, operation Operation) {
	for range 3 {
		made := held.view.planOf(testAccount, limit, []Operation{operation})
		if held.try(made) == tryCommitted {
			return
		}
	}
}

// TestConcurrentReservationsFillTheAccountExactly: daemons that commit to one
// account at once grant all that fits and no more.
func TestConcurrentReservationsFillTheAccountExactly(t *testing.T) {
	const limit, jobs, tokens = 100, 60, 5
	store := tabletest.NewMemory()
	ledgers := []*ledger{newLedger(store, testAccount), newLedger(store, testAccount), newLedger(store, testAccount)}
	var group sync.WaitGroup
	granted := make(chan bool, jobs)
	for number := range jobs {
		group.Go(func() {
			operation := Operation{Kind: KindReserve, Job: fmt.Sprint("job", number), Tokens: tokens, Holder: "h"}
			outcomes, err := ledgers[number%len(ledgers)].apply(t.Context(), Limit{Tokens: limit, Config: 1}, []Operation{operation})
			granted <- err == nil && outcomes[0].IsGranted
		})
	}
	group.Wait()
	close(granted)
	count := 0
	for isGranted := range granted {
		if isGranted {
			count++
		}
	}
	require.Equal(t, limit/tokens, count)
	require.EqualValues(t, limit, requireSum(t, store))
}

// TestNewerLimitHoldsForDaemonsThatDoNotKnowIt.
func TestNewerLimitHoldsForDaemonsThatDoNotKnowIt(t *testing.T) {
	store := tabletest.NewMemory()
	informed, behind := newLedger(store, testAccount), newLedger(store, testAccount)
	reserve := func(by *ledger, limit Limit, job string) Outcome {
		outcomes, err := by.apply(t.Context(), limit, []Operation{{Kind: KindReserve, Job: job, Tokens: 40, Holder: job}})
		require.NoError(t, err)
		return outcomes[0]
	}
	require.True(t, reserve(informed, Limit{Tokens: 50, Config: 2}, "first").IsGranted)
	require.False(t, reserve(behind, Limit{Tokens: 100, Config: 1}, "second").IsGranted)
	require.True(t, reserve(informed, Limit{Tokens: 0, Config: 3}, "third").IsGranted, "0 means no bound")
}

// TestReleaseSparesALaterHolder: a call that failed takes back nothing that a
// later call for the same job relies on.
func TestReleaseSparesALaterHolder(t *testing.T) {
	held := newLedger(tabletest.NewMemory(), testAccount)
	limit := Limit{Tokens: 100, Config: 1}
	for _, operation := range []Operation{
		{Kind: KindReserve, Job: "j", Tokens: 10, Holder: "first"}, {Kind: KindReserve, Job: "j", Tokens: 10, Holder: "second"},
		{Kind: KindRelease, Job: "j", Holder: "first"},
	} {
		_, err := held.apply(t.Context(), limit, []Operation{operation})
		require.NoError(t, err)
	}
	require.EqualValues(t, 10, requireSum(t, held.store))
}

// TestSettlingUnderALowerEpochChangesNothing: an owner that lost its job tells
// an account nothing any more.
func TestSettlingUnderALowerEpochChangesNothing(t *testing.T) {
	held := newLedger(tabletest.NewMemory(), testAccount)
	for _, operation := range []Operation{
		{Kind: KindReserve, Job: "j", Tokens: 10, Holder: "first"}, {Kind: KindSettle, Job: "j", Tokens: 9, Holder: "second", Epoch: 2},
		{Kind: KindSettle, Job: "j", Tokens: 3, Holder: "first", Epoch: 1},
	} {
		_, err := held.apply(t.Context(), Limit{Tokens: 100, Config: 1}, []Operation{operation})
		require.NoError(t, err)
	}
	require.EqualValues(t, 9, requireSum(t, held.store))
}

// keeperPeers reaches other accounts in the same process.
type keeperPeers struct {
	keeper    *Accounts
	isSelf    bool
	announced int
	err       error
}

func (p *keeperPeers) Coordinator(string) (string, bool) { return "keeper", p.isSelf }
func (p *keeperPeers) Announce(string)                   { p.announced++ }
func (p *keeperPeers) Apply(ctx context.Context, _ string, request Request) (Answer, error) {
	if p.err != nil {
		return Answer{}, p.err
	}
	return p.keeper.Serve(ctx, request)
}

func newAccounts(store Store, peers Peers) *Accounts {
	return NewAccounts(store, peers, telemetry.NewQuota(prometheus.NewRegistry()), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// TestKeeperCommitsAndIsPassedByWhenItFails.
func TestKeeperCommitsAndIsPassedByWhenItFails(t *testing.T) {
	store := tabletest.NewMemory()
	keeper := newAccounts(store, &keeperPeers{isSelf: true})
	peers := &keeperPeers{keeper: keeper}
	other := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	isNew, err := other.Reserve(t.Context(), testAccount, limit, "one", 60, "h")
	require.NoError(t, err)
	require.True(t, isNew)
	require.Positive(t, peers.announced, "over half of the limit waits")
	peers.err = unavailable(nil)
	_, err = other.Reserve(t.Context(), testAccount, limit, "two", 60, "h")
	require.True(t, failure.HasCode(err, "quota_reached"), "%v", err)
	require.True(t, failure.From(err).NotRun)
	require.Positive(t, failure.From(err).RetryAfter)
	require.EqualValues(t, 60, requireSum(t, store))
}

// TestRetryAdviceFollowsTheRateOfEndingWork.
func TestRetryAdviceFollowsTheRateOfEndingWork(t *testing.T) {
	rate := &freedRate{}
	now := time.Now()
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		rate.note(100, now)
	}
	require.InDelta(t, 1000, rate.perSecond(now), 200)
	outcome := Outcome{Waiting: 9000, Limit: 10000, FreedPerSecond: 1000}
	require.Equal(t, 2*time.Second, retryAfter(3000, outcome))
	require.Equal(t, shortestRetry, retryAfter(1001, outcome))
	require.Equal(t, longestRetry, retryAfter(3000, Outcome{Waiting: 9000, Limit: 10000}))
}

// TestBatchesStayWithinTheStoresBound: many operations at once are committed
// in several transactions.
func TestBatchesStayWithinTheStoresBound(t *testing.T) {
	store := &countingStore{Memory: tabletest.NewMemory()}
	held := newLedger(store, testAccount)
	var group sync.WaitGroup
	for number := range 200 {
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			_, err := held.apply(t.Context(), Limit{Tokens: 1000, Config: 1}, []Operation{{Kind: KindReserve, Job: fmt.Sprint(number), Tokens: 1, Holder: "h"}})
			require.NoError(t, err)
		})
	}
	group.Wait()
	require.EqualValues(t, 200, requireSum(t, store))
	require.LessOrEqual(t, store.mostEntries, 100)
}

type countingStore struct {
	*tabletest.Memory
	mutex       sync.Mutex
	mostEntries int
}

func (s *countingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	s.mutex.Lock()
	s.mostEntries = max(s.mostEntries, len(transaction.Conditions)+len(transaction.Writes)+len(transaction.Removals))
	s.mutex.Unlock()
	return s.Memory.Commit(ctx, transaction)
}

// TestCommitsThatComeToNothingComeLessOften, and more often again when they
// succeed.
func TestCommitsThatComeToNothingComeLessOften(t *testing.T) {
	held := backoff{}
	before := time.Duration(0)
	for range 20 {
		pause := held.failed()
		require.GreaterOrEqual(t, pause, before)
		require.LessOrEqual(t, pause, longestPause)
		before = pause
	}
	require.Equal(t, longestPause, before)
	held.succeeded()
	held.succeeded()
	require.Less(t, held.failed(), longestPause)
}

// TestOnlyReservationsPassAKeeperBy: after a restart of all daemons every one of
// them would else settle by itself, and their conflicts would keep the account
// from everybody.
func TestOnlyReservationsPassAKeeperBy(t *testing.T) {
	store := tabletest.NewMemory()
	peers := &keeperPeers{err: unavailable(nil)}
	accounts := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	_, err := accounts.Apply(t.Context(), testAccount, limit, []Operation{{Kind: KindSettle, Job: "j", Tokens: 5, Holder: "h"}})
	require.Error(t, err)
	require.Zero(t, store.Commits())
	_, err = accounts.Reserve(t.Context(), testAccount, limit, "j", 5, "h")
	require.NoError(t, err)
	require.EqualValues(t, 5, requireSum(t, store))
}
