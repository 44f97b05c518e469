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

// stored reads the rows of testAccount: the total, and the reservations by job.
func stored(t require.TestingT, store Store) (totalRow, map[string]reservationRow) {
	total := totalRow{}
	page, err := store.Read(context.Background(), table.Range{Table: tableTotal, Partition: testAccount})
	require.NoError(t, err)
	for _, row := range page.Rows {
		require.NoError(t, json.Unmarshal(row.Value, &total))
	}
	page, err = store.Read(context.Background(), table.Range{Table: tableReservation, Partition: testAccount})
	require.NoError(t, err)
	reservations := map[string]reservationRow{}
	for _, row := range page.Rows {
		read := reservationRow{}
		require.NoError(t, json.Unmarshal(row.Value, &read))
		reservations[row.Key] = read
	}
	return total, reservations
}

// requireSum checks that the total is the sum of the reservations.
func requireSum(t require.TestingT, store Store) int64 {
	total, reservations := stored(t, store)
	sum := int64(0)
	for _, each := range reservations {
		sum += each.Tokens
	}
	require.Equal(t, sum, total.Waiting)
	return sum
}

// TestTotalStaysWithinLimit guards against a total that exceeds the limit or differs from
// the sum of the reservations, on a store that refuses calls, loses answers or commits late.
func TestTotalStaysWithinLimit(t *testing.T) {
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
			account := ledgers[rapid.IntRange(0, len(ledgers)-1).Draw(t, "daemon")]
			operation := Operation{
				Kind: rapid.SampledFrom([]Kind{KindReserve, KindReserve, KindSettle, KindRelease}).Draw(t, "kind"),
				Job:  fmt.Sprint("job", rapid.IntRange(0, 5).Draw(t, "job")), Tokens: rapid.Int64Range(1, 60).Draw(t, "tokens"),
				Holder: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "holder"),
			}
			if operation.Kind == KindSettle {
				// An owner only reduces its reservation.
				_, reservations := stored(t, store)
				operation.Tokens = min(operation.Tokens/2, reservations[operation.Job].Tokens)
			}
			commitOperation(account, Limit{Tokens: limit, Config: 1}, operation)
			if rapid.Bool().Draw(t, "late calls arrive") {
				store.Settle()
			}
			require.LessOrEqual(t, requireSum(t, store), int64(limit))
		}
	})
}

// commitOperation tries up to three times to commit an operation.
func commitOperation(account *ledger, limit Limit, operation Operation) {
	for range 3 {
		planned := account.view.planOf(testAccount, limit, []Operation{operation})
		if account.try(planned) == tryCommitted {
			return
		}
	}
}

// TestConcurrentReservationsReachLimit checks that daemons that commit to one account
// concurrently grant exactly the reservations that fit.
func TestConcurrentReservationsReachLimit(t *testing.T) {
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

// TestNewerLimitAppliesToOutdatedDaemons guards against reservations under an older limit.
func TestNewerLimitAppliesToOutdatedDaemons(t *testing.T) {
	store := tabletest.NewMemory()
	current, outdated := newLedger(store, testAccount), newLedger(store, testAccount)
	reserve := func(by *ledger, limit Limit, job string) Outcome {
		outcomes, err := by.apply(t.Context(), limit, []Operation{{Kind: KindReserve, Job: job, Tokens: 40, Holder: job}})
		require.NoError(t, err)
		return outcomes[0]
	}
	require.True(t, reserve(current, Limit{Tokens: 50, Config: 2}, "first").IsGranted)
	require.False(t, reserve(outdated, Limit{Tokens: 100, Config: 1}, "second").IsGranted)
	require.True(t, reserve(current, Limit{Tokens: 0, Config: 3}, "third").IsGranted, "0 means no limit")
}

// TestReleaseByFormerHolderIsIgnored guards against a failed call that releases the
// reservation of a later call for the same job.
func TestReleaseByFormerHolderIsIgnored(t *testing.T) {
	account := newLedger(tabletest.NewMemory(), testAccount)
	limit := Limit{Tokens: 100, Config: 1}
	for _, operation := range []Operation{
		{Kind: KindReserve, Job: "j", Tokens: 10, Holder: "first"}, {Kind: KindReserve, Job: "j", Tokens: 10, Holder: "second"},
		{Kind: KindRelease, Job: "j", Holder: "first"},
	} {
		_, err := account.apply(t.Context(), limit, []Operation{operation})
		require.NoError(t, err)
	}
	require.EqualValues(t, 10, requireSum(t, account.store))
}

// TestSettleWithLowerEpochIsIgnored guards against settlements by a former owner of a job.
func TestSettleWithLowerEpochIsIgnored(t *testing.T) {
	account := newLedger(tabletest.NewMemory(), testAccount)
	for _, operation := range []Operation{
		{Kind: KindReserve, Job: "j", Tokens: 10, Holder: "first"}, {Kind: KindSettle, Job: "j", Tokens: 9, Holder: "second", Epoch: 2},
		{Kind: KindSettle, Job: "j", Tokens: 3, Holder: "first", Epoch: 1},
	} {
		_, err := account.apply(t.Context(), Limit{Tokens: 100, Config: 1}, []Operation{operation})
		require.NoError(t, err)
	}
	require.EqualValues(t, 9, requireSum(t, account.store))
}

// coordinatorPeers calls a coordinator in the same process.
type coordinatorPeers struct {
	coordinator *Accounts
	isSelf      bool
	announced   int
	err         error
}

func (p *coordinatorPeers) Coordinator(string) (string, bool) { return "keeper", p.isSelf }
func (p *coordinatorPeers) Announce(string)                   { p.announced++ }
func (p *coordinatorPeers) Apply(ctx context.Context, _ string, request Request) (Answer, error) {
	if p.err != nil {
		return Answer{}, p.err
	}
	return p.coordinator.Serve(ctx, request)
}

func newAccounts(store Store, peers Peers) *Accounts {
	return NewAccounts(store, peers, telemetry.NewQuota(prometheus.NewRegistry()), slog.New(slog.NewTextHandler(io.Discard, nil)))
}

// TestFailedCoordinatorIsBypassed checks that reservations are committed directly after the
// coordinator fails.
func TestFailedCoordinatorIsBypassed(t *testing.T) {
	store := tabletest.NewMemory()
	coordinator := newAccounts(store, &coordinatorPeers{isSelf: true})
	peers := &coordinatorPeers{coordinator: coordinator}
	other := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	isNew, err := other.Reserve(t.Context(), testAccount, limit, "one", 60, "h")
	require.NoError(t, err)
	require.True(t, isNew)
	require.Positive(t, peers.announced, "more than half of the limit is queued")
	peers.err = unavailable(nil)
	_, err = other.Reserve(t.Context(), testAccount, limit, "two", 60, "h")
	require.True(t, failure.HasCode(err, "quota_reached"), "%v", err)
	require.True(t, failure.From(err).NotRun)
	require.Positive(t, failure.From(err).RetryAfter)
	require.EqualValues(t, 60, requireSum(t, store))
}

// TestRetryAfterFollowsFreedRate checks the retry delay in refusals and its range.
func TestRetryAfterFollowsFreedRate(t *testing.T) {
	rate := &freedRate{}
	now := time.Now()
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		rate.add(100, now)
	}
	require.InDelta(t, 1000, rate.perSecond(now), 200)
	outcome := Outcome{Waiting: 9000, Limit: 10000, FreedPerSecond: 1000}
	require.Equal(t, 2*time.Second, retryAfter(3000, outcome))
	require.Equal(t, minRetryAfter, retryAfter(1001, outcome))
	require.Equal(t, maxRetryAfter, retryAfter(3000, Outcome{Waiting: 9000, Limit: 10000}))
}

// TestTransactionsStayWithinStoreLimit guards against transactions with more entries than
// the store accepts.
func TestTransactionsStayWithinStoreLimit(t *testing.T) {
	store := &countingStore{Memory: tabletest.NewMemory()}
	account := newLedger(store, testAccount)
	var group sync.WaitGroup
	for number := range 200 {
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(3)) * time.Millisecond)
			_, err := account.apply(t.Context(), Limit{Tokens: 1000, Config: 1}, []Operation{{Kind: KindReserve, Job: fmt.Sprint(number), Tokens: 1, Holder: "h"}})
			require.NoError(t, err)
		})
	}
	group.Wait()
	require.EqualValues(t, 200, requireSum(t, store))
	require.LessOrEqual(t, store.maxEntries, 100)
}

type countingStore struct {
	*tabletest.Memory
	mutex      sync.Mutex
	maxEntries int
}

func (s *countingStore) Commit(ctx context.Context, transaction table.Transaction) (table.Version, error) {
	s.mutex.Lock()
	s.maxEntries = max(s.maxEntries, len(transaction.Conditions)+len(transaction.Writes)+len(transaction.Removals))
	s.mutex.Unlock()
	return s.Memory.Commit(ctx, transaction)
}

// TestBackoffGrowsAndShrinks checks that failures increase the pause and successes reduce it.
func TestBackoffGrowsAndShrinks(t *testing.T) {
	b := backoff{}
	before := time.Duration(0)
	for range 20 {
		pause := b.failed()
		require.GreaterOrEqual(t, pause, before)
		require.LessOrEqual(t, pause, maxPause)
		before = pause
	}
	require.Equal(t, maxPause, before)
	b.succeeded()
	b.succeeded()
	require.Less(t, b.failed(), maxPause)
}

// TestOnlyReservationsBypassCoordinator guards against conflicts between all daemons of the
// fleet that settle directly after a restart.
func TestOnlyReservationsBypassCoordinator(t *testing.T) {
	store := tabletest.NewMemory()
	peers := &coordinatorPeers{err: unavailable(nil)}
	accounts := newAccounts(store, peers)
	limit := Limit{Tokens: 100, Config: 1}
	_, err := accounts.Apply(t.Context(), testAccount, limit, []Operation{{Kind: KindSettle, Job: "j", Tokens: 5, Holder: "h"}})
	require.Error(t, err)
	require.Zero(t, store.Commits())
	_, err = accounts.Reserve(t.Context(), testAccount, limit, "j", 5, "h")
	require.NoError(t, err)
	require.EqualValues(t, 5, requireSum(t, store))
}
