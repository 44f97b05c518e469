package batchcapacity

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// slots is the number of slots of the service in these tests.
const slots = 720

// demandOf returns demand with noisy samples of level over a time span.
func demandOf(level func(at time.Duration) float64, span time.Duration, seed uint64) *Demand {
	demand, random := &Demand{}, rand.New(rand.NewPCG(1, seed))
	start := time.Unix(0, 0)
	for at := time.Duration(0); at < span; at += SampleInterval {
		wanted := level(at)
		online := max(int(wanted+random.NormFloat64()*math.Sqrt(wanted)), 0)
		demand.Note(Load{Slots: slots, Online: online}, start.Add(at))
	}
	return demand
}

// bursts returns a level that alternates between low and high.
func bursts(low, high float64, period, burst time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period >= period-burst {
			return high
		}
		return low
	}
}

// TestPeriodOfBurstsIsDetected checks that the period of bursts is detected after two
// periods and one second.
func TestPeriodOfBurstsIsDetected(t *testing.T) {
	for _, each := range []struct{ period, burst time.Duration }{
		{5800 * time.Millisecond, 2400 * time.Millisecond}, {10 * time.Second, 4 * time.Second}, {3 * time.Second, time.Second},
	} {
		for seed := range uint64(20) {
			demand := demandOf(bursts(110, 540, each.period, each.burst), 2*each.period+time.Second, seed)
			require.InDelta(t, each.period.Seconds(), demand.Period().Seconds(), 0.15)
		}
	}
}

// TestForecastOfNextBurst checks that the forecast has the next burst and the valley after
// it.
func TestForecastOfNextBurst(t *testing.T) {
	const period, burst = 6 * time.Second, 2 * time.Second
	demand := demandOf(bursts(110, 540, period, burst), 3*period, 1)
	valley, isKnown := demand.Forecast(time.Second, 2*time.Second)
	require.True(t, isKnown)
	require.Less(t, valley, 200)
	expected, _ := demand.Forecast(time.Second, 5*time.Second)
	require.Greater(t, expected, 480)
	nextPeriod, _ := demand.Forecast(period+time.Second, period+2*time.Second)
	require.Less(t, nextPeriod, 200)
}

// TestNoPeriodIsDetectedWithoutOne checks that noise, a jump, a slow rise and a single
// burst aren't periodic.
func TestNoPeriodIsDetectedWithoutOne(t *testing.T) {
	for name, level := range map[string]func(time.Duration) float64{
		"noise": func(time.Duration) float64 { return 400 },
		"jump": func(at time.Duration) float64 {
			if at < 12*time.Second {
				return 110
			}
			return 540
		},
		"rise": func(at time.Duration) float64 { return 100 + 20*at.Seconds() },
		"one burst": func(at time.Duration) float64 {
			if at > 8*time.Second && at < 10*time.Second {
				return 540
			}
			return 110
		},
	} {
		for seed := range uint64(10) {
			for span := 4 * time.Second; span < 24*time.Second; span += 700 * time.Millisecond {
				require.Zero(t, demandOf(level, span, seed).Period(), "%s after %s", name, span)
			}
		}
	}
}

// TestEndedPeriodIsDropped checks that the period is dropped at most one and a half
// periods after it ends.
func TestEndedPeriodIsDropped(t *testing.T) {
	const period, burst = 6 * time.Second, 2400 * time.Millisecond
	periodic := bursts(110, 540, period, burst)
	demand := demandOf(func(at time.Duration) float64 {
		if at < 3*period {
			return periodic(at)
		}
		return 110
	}, 3*period+period*3/2, 1)
	require.Zero(t, demand.Period())
}

// TestMissedSamples checks that a short gap keeps the period, a long one resets it.
func TestMissedSamples(t *testing.T) {
	const period, burst = 6 * time.Second, 2 * time.Second
	demand := demandOf(bursts(110, 540, period, burst), 3*period, 1)
	after := time.Unix(0, 0).Add(3 * period)
	demand.Note(Load{Slots: slots, Online: 110}, after.Add(2500*time.Millisecond))
	expected, isKnown := demand.Forecast(2*time.Second, 3*time.Second)
	require.True(t, isKnown)
	require.Greater(t, expected, 480)
	demand.Note(Load{Slots: slots, Online: 110}, after.Add(time.Minute))
	_, isKnown = demand.Forecast(0, time.Second)
	require.False(t, isKnown)
}

// TestUntilValley checks that the valley begins at the end of a burst, seen from the burst
// and from the valley before it.
func TestUntilValley(t *testing.T) {
	const period, burst = 6 * time.Second, 2 * time.Second
	periodic := bursts(110, 540, period, burst)
	inBurst := demandOf(periodic, 3*period-time.Second, 1)
	require.InDelta(t, 1, inBurst.UntilValley().Seconds(), 0.2)
	before := demandOf(periodic, 3*period-3*time.Second, 1)
	require.InDelta(t, 3, before.UntilValley().Seconds(), 0.2)
	require.Zero(t, (&Demand{}).UntilValley())
}
