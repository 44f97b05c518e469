package stopping_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/stopping"
)

const (
	grace = 8 * time.Second
	// known is a number of requests from which their longest duration is known.
	known = 100
)

func plan() stopping.Plan { return stopping.Plan{Began: time.Unix(1000, 0), Grace: grace} }

// seen returns the durations of requests that all took as long.
func seen(count int, took time.Duration) stopping.Recent {
	durations := stopping.NewDurations()
	for range count {
		durations.Observe("kind", took)
	}
	return durations.Recent("kind")
}

// Guards against requests that are taken though the time left does not suffice, and against refusals
// of those for which it does.
func TestWorkIsTakenByTheTimeLeft(t *testing.T) {
	const long = time.Hour
	for name, played := range map[string]struct {
		after time.Duration
		need  stopping.Need
		want  bool
	}{
		"early, nothing known":                   {0, stopping.Need{Limit: long, Risk: stopping.RiskCut}, true},
		"early, most end in time":                {time.Second, stopping.Need{Limit: long, Risk: stopping.RiskCut, Recent: seen(known, 6*time.Second)}, true},
		"early, most are too long":               {2 * time.Second, stopping.Need{Limit: long, Risk: stopping.RiskCut, Recent: seen(known, 6*time.Second)}, false},
		"late stream, nothing known":             {3 * time.Second, stopping.Need{Limit: long, Risk: stopping.RiskCut}, false},
		"late stream, too few known":             {3 * time.Second, stopping.Need{Limit: long, Risk: stopping.RiskCut, Recent: seen(1, time.Millisecond)}, false},
		"late stream, others were short":         {3 * time.Second, stopping.Need{Limit: long, Risk: stopping.RiskCut, Recent: seen(known, time.Millisecond)}, false},
		"late stream with a short limit":         {5 * time.Second, stopping.Need{Limit: 2 * time.Second, Risk: stopping.RiskCut}, true},
		"late, runs once, others were short":     {5 * time.Second, stopping.Need{Limit: long, Objective: time.Millisecond, Risk: stopping.RiskFailure, Recent: seen(known, time.Millisecond)}, false},
		"late, runs once, with a short limit":    {5 * time.Second, stopping.Need{Limit: 2 * time.Second, Risk: stopping.RiskFailure}, true},
		"late plain request, nothing known":      {5 * time.Second, stopping.Need{Limit: long, Objective: 300 * time.Millisecond}, true},
		"late plain request with a long target":  {5 * time.Second, stopping.Need{Limit: long, Objective: 2 * time.Second}, false},
		"late plain request, known as too long":  {5 * time.Second, stopping.Need{Limit: long, Objective: time.Millisecond, Recent: seen(known, 3*time.Second)}, false},
		"late plain request, few but too long":   {5 * time.Second, stopping.Need{Limit: long, Objective: time.Millisecond, Recent: seen(1, 3*time.Second)}, false},
		"after the end, however short the limit": {7500 * time.Millisecond, stopping.Need{Limit: 0, Recent: seen(known, 0)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := plan().Began.Add(played.after)
			played.need.ReadAt = now
			require.Equal(t, played.want, plan().Admits(now, played.need))
		})
	}
}

// Guards against refusals of requests that were read early and have waited here, and against those of
// them that are taken though others took too long.
func TestRequestReadEarlyIsTakenByTheLongestOfOthers(t *testing.T) {
	for name, played := range map[string]struct {
		recent stopping.Recent
		want   bool
	}{
		"all end in time":       {seen(known, 3*time.Second), true},
		"the longest might not": {seen(known, 4*time.Second), false},
		"too few known":         {seen(1, time.Millisecond), false},
	} {
		t.Run(name, func(t *testing.T) {
			need := stopping.Need{Limit: time.Hour, ReadAt: plan().Began.Add(time.Second), Risk: stopping.RiskCut, Recent: played.recent}
			require.Equal(t, played.want, plan().Admits(plan().Began.Add(3*time.Second), need))
		})
	}
}

// Guards against a request sent late in a stop that is taken because others were short, and is cut or
// fails for good: how long it takes is drawn without regard to them.
func TestLateRequestIsTakenOnlyWithinItsOwnBound(t *testing.T) {
	const sureSendTime = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		durations := stopping.NewDurations()
		longest := rapid.SampledFrom([]int{1, 100, 1000, 3000, 8000}).Draw(t, "longest of others")
		for _, took := range rapid.SliceOfN(rapid.IntRange(0, longest), 16, 400).Draw(t, "durations of others") {
			durations.Observe("kind", time.Duration(took)*time.Millisecond)
		}
		sent := sureSendTime + 1 + duration("sent after", 4000)
		asked := plan().Began.Add(sent + duration("waited", 500))
		need := stopping.Need{
			Limit: duration("limit", 20000), ReadAt: plan().Began.Add(sent), Objective: duration("objective", 2000),
			Risk:   rapid.SampledFrom([]stopping.Risk{stopping.RiskFailure, stopping.RiskCut}).Draw(t, "risk"),
			Recent: durations.Recent("kind"),
		}
		takes := min(duration("outputs times pace", 20000), need.Limit)
		if plan().Admits(asked, need) {
			require.False(t, asked.Add(takes).After(plan().EndAt()), "in flight at the end of the stop")
		}
	})
}

// Guards against a request that is refused and would be taken later in the same stop.
func TestWhatIsRefusedStaysRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 10000).Draw(t, name)) * time.Millisecond
		}
		usual := duration("usual")
		earlier := plan().Began.Add(duration("earlier"))
		need := stopping.Need{
			Limit: duration("limit"), ReadAt: earlier, Objective: duration("objective"),
			Risk:   rapid.SampledFrom([]stopping.Risk{stopping.RiskRetry, stopping.RiskFailure, stopping.RiskCut}).Draw(t, "risk"),
			Recent: stopping.Recent{Usual: usual, Longest: usual + duration("more"), Count: rapid.IntRange(1, known).Draw(t, "count")},
		}
		later := earlier.Add(duration("later"))
		if !plan().Admits(earlier, need) {
			require.False(t, plan().Admits(later, need))
		}
	})
}

// Guards against stops whose parts do not fit their grace period, however short it is.
func TestStopFitsItsGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		short := stopping.Plan{Began: time.Unix(1000, 0), Grace: time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond}
		require.False(t, short.ListenUntil().Before(short.Began))
		require.False(t, short.EndAt().Before(short.ListenUntil()))
		require.False(t, short.ExitAt().Before(short.EndAt()))
		require.False(t, short.ExitAt().After(short.Began.Add(short.Grace)))
	})
}

// Guards against durations that are kept for ever or without bound.
func TestRecentDurationsReplaceOldOnes(t *testing.T) {
	durations := stopping.NewDurations()
	durations.Observe("kind", time.Hour)
	for range 256 {
		durations.Observe("kind", time.Second)
	}
	require.Equal(t, stopping.Recent{Usual: time.Second, Longest: time.Second, Count: 256}, durations.Recent("kind"))
	require.Zero(t, durations.Recent("other"))
}

// Guards against a stop that ends nothing, or that ends what does not belong to it.
func TestEndOfAStopEndsItsContexts(t *testing.T) {
	stop := stopping.New()
	bounded, cancel := stop.WithTimeout(t.Context(), grace)
	defer cancel()
	stop.Begin(plan())
	require.True(t, stop.HasBegun())
	require.NoError(t, bounded.Err())
	stop.End()
	<-bounded.Done()
	require.True(t, stop.HasEnded())
	var never *stopping.Stop
	free, release := never.WithTimeout(t.Context(), grace)
	require.NoError(t, free.Err())
	release()
	require.False(t, never.HasBegun() || never.HasEnded())
}
