package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/admission"
	"topazpulley/internal/failure"
)

var start = time.Unix(1000, 0)

// TestWindowIsZeroAboveGuard: for any reports and hints, the window is 0 while the online
// load is above the guard, and never larger than its maximum.
func TestWindowIsZeroAboveGuard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum, guard := rapid.IntRange(0, 64).Draw(t, "maximum"), rapid.IntRange(0, 16).Draw(t, "guard")
		window := admission.NewBatchWindow(maximum, guard)
		at := start
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at = at.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
			online, waiting := rapid.IntRange(0, 20).Draw(t, "online"), rapid.IntRange(0, 5).Draw(t, "waiting")
			hint := rapid.IntRange(0, 20).Draw(t, "hint")
			if rapid.Bool().Draw(t, "hinted") {
				window.Hint(hint, at)
				require.True(t, hint <= guard || window.Size() == 0, "a hint above the guard empties the window at once")
			}
			size := window.Observe(online, waiting, at)
			require.LessOrEqual(t, size, maximum)
			require.GreaterOrEqual(t, size, 0)
			if online+waiting > guard {
				require.Zero(t, size)
			}
		}
	})
}

func TestWindowGrowsWhileIdle(t *testing.T) {
	window := admission.NewBatchWindow(16, 4)
	size := 0
	for step := range 20 {
		size = window.Observe(0, 0, start.Add(time.Duration(step)*100*time.Millisecond))
	}
	require.Equal(t, 16, size)
	window.Hint(5, start.Add(2*time.Second))
	require.Zero(t, window.Size())
}

func limiter(maximum int, queueTimeout time.Duration) *admission.Limiter {
	return admission.NewLimiter(admission.LimiterConfig{Minimum: 1, Maximum: maximum, QueueTimeout: queueTimeout, SlowAfter: time.Second})
}

// TestLimiterNeverExceedsMaximum: in any order of arrivals and releases, no more
// requests are in flight than the maximum.
func TestLimiterNeverExceedsMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maximum := rapid.IntRange(1, 10).Draw(t, "maximum")
		limited := limiter(maximum, 0)
		inFlight, at := 0, start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at = at.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "arrive") {
				err := limited.Acquire(context.Background(), at, at.Add(time.Second))
				if err == nil {
					inFlight++
					continue
				}
				typed := failure.From(err)
				require.True(t, typed.NotRun && typed.RetryAfter > 0)
				continue
			}
			if inFlight > 0 {
				limited.Release(at, time.Duration(rapid.IntRange(0, 2000).Draw(t, "first"))*time.Millisecond, time.Second, rapid.Bool().Draw(t, "overloaded"))
				inFlight--
			}
			limit, counted, _ := limited.State()
			require.Equal(t, inFlight, counted)
			require.LessOrEqual(t, limit, maximum)
			require.LessOrEqual(t, inFlight, maximum)
		}
	})
}

func TestLimiterFallsWhenSlowAndRecovers(t *testing.T) {
	limited := limiter(100, 0)
	at := start
	serve := func(first time.Duration) {
		at = at.Add(300 * time.Millisecond)
		require.NoError(t, limited.Acquire(context.Background(), at, at.Add(time.Second)))
		limited.Release(at, first, first, false)
	}
	for range 20 {
		serve(5 * time.Second)
	}
	slow, _, _ := limited.State()
	require.Less(t, slow, 20)
	for range 2000 {
		serve(time.Millisecond)
	}
	recovered, _, _ := limited.State()
	require.Greater(t, recovered, 2*slow)
}

func TestQueuedRequestIsAdmittedAfterRelease(t *testing.T) {
	limited := limiter(1, time.Minute)
	now := time.Now()
	require.NoError(t, limited.Acquire(context.Background(), now, now.Add(time.Hour)))
	admitted := make(chan error, 1)
	go func() { admitted <- limited.Acquire(context.Background(), now, now.Add(time.Hour)) }()
	require.Eventually(t, func() bool { _, _, queued := limited.State(); return queued == 1 }, 30*time.Second, time.Millisecond)
	limited.Release(now, 0, 0, false)
	require.NoError(t, <-admitted)
}

func TestTenantConcurrencyIsLimited(t *testing.T) {
	tenants := admission.NewConcurrency()
	require.NoError(t, tenants.Acquire("a", 2))
	require.NoError(t, tenants.Acquire("a", 2))
	err := failure.From(tenants.Acquire("a", 2))
	require.Equal(t, "tenant_concurrency", err.Code)
	require.True(t, err.NotRun)
	require.Positive(t, err.RetryAfter)
	require.NoError(t, tenants.Acquire("b", 2), "limits are per tenant")
	tenants.Release("a")
	require.NoError(t, tenants.Acquire("a", 2))
	require.Error(t, tenants.Acquire("a", 2))
	require.NoError(t, tenants.Acquire("a", 0), "no limit")
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	budget := admission.NewRetryBudget(0.2, 10)
	retries := 0
	for range 1000 {
		budget.Earn()
		if budget.Spend() {
			retries++
		}
	}
	require.LessOrEqual(t, retries, 210)
	require.Positive(t, retries)
}
