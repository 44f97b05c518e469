// Package batchcapacity decides how many batch items a fleet's backends should run beside
// online requests: the capacity now and through the next burst, whether online demand is
// periodic, and which items can wait. It has no clock and no I/O: callers pass the observed
// load and the time.
package batchcapacity

import (
	"math"
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples of demand.
	SampleInterval = 100 * time.Millisecond
	// maxSamples is the number of samples kept: two of the longest detectable period.
	maxSamples = 2 * maxLag
	// maxLag and minLag are the longest and the shortest detectable period in samples.
	// Items run for seconds, so longer periods don't matter. Shorter ones are over before
	// other daemons report their load.
	maxLag = 120
	minLag = 20
	// detectInterval is the number of samples between two detections.
	detectInterval = 5
	// minCorrelation is the minimum correlation of two consecutive periods. A single jump
	// or a slow rise may reach it too; minTransitions excludes these.
	minCorrelation = 0.75
	// minSwing is the minimum swing of periodic online work as a share of the slots.
	minSwing = 0.1
)

// noiseDeviations is the number of standard deviations above which a change of online work is
// significant. The number of independent requests is assumed to have a Poisson distribution.
const noiseDeviations = 2

// Load is a service's load as observed by a daemon.
type Load struct {
	// Backends is the number of usable backends, Slots the sum of their slots.
	Backends int
	Slots    int
	// Online and Batch are the requests in flight from all daemons.
	Online int
	Batch  int
}

// Demand holds recent samples of a service's online work. It is not safe for concurrent use.
type Demand struct {
	levels         []float64
	sampledAt      time.Time
	slots          int
	period         int
	sinceDetection int
}

// Note records the load at a time. Missed samples are filled with the last one. After a gap
// of more than maxSamples, recording starts again.
func (d *Demand) Note(load Load, now time.Time) {
	missed := int(now.Sub(d.sampledAt)/SampleInterval) - 1
	if d.sampledAt.IsZero() || missed > maxSamples {
		d.levels, d.period, missed = nil, 0, 0
	}
	for range missed {
		d.push(d.levels[len(d.levels)-1])
	}
	d.push(float64(load.Online))
	d.sampledAt, d.slots = now, load.Slots
	d.sinceDetection++
	if d.sinceDetection >= detectInterval {
		d.sinceDetection = 0
		d.detectPeriod()
	}
}

func (d *Demand) push(level float64) {
	d.levels = append(d.levels, level)
	if len(d.levels) > maxSamples {
		d.levels = append(d.levels[:0], d.levels[len(d.levels)-maxSamples:]...)
	}
}

// Period returns the period of online demand, or 0 if none is detected.
func (d *Demand) Period() time.Duration { return time.Duration(d.period) * SampleInterval }

// Forecast returns the maximum online work expected between two times from now. It returns
// false if no period is detected.
func (d *Demand) Forecast(from, to time.Duration) (int, bool) {
	if d.period == 0 {
		return 0, false
	}
	most := 0.0
	for ahead := int(from / SampleInterval); ahead <= int(to/SampleInterval); ahead++ {
		most = max(most, d.periodicLevel(ahead))
	}
	return int(math.Ceil(most)), true
}

// Mean returns the mean online work of the samples, over complete periods if one is detected. It
// returns unknown if there are no samples.
func (d *Demand) Mean(unknown int) int {
	if len(d.levels) == 0 {
		return unknown
	}
	recent := d.levels
	if d.period > 0 {
		recent = recent[len(recent)%d.period:]
	}
	return int(mean(recent))
}

// Rise returns the increase of online work since the given time ago, or 0 if it isn't
// significant.
func (d *Demand) Rise(ago time.Duration) int {
	steps := int(ago / SampleInterval)
	if len(d.levels) <= steps {
		return 0
	}
	now, before := d.levels[len(d.levels)-1], d.levels[len(d.levels)-1-steps]
	if now-before < noiseDeviations*math.Sqrt(now) {
		return 0
	}
	return int(now - before)
}

// UntilValley returns the time until the current or next burst ends, or 0 if no period is
// detected.
func (d *Demand) UntilValley() time.Duration {
	middle := float64(d.Mean(0))
	wasHigh := false
	for ahead := range d.period {
		isHigh := d.periodicLevel(ahead) > middle
		if wasHigh && !isHigh {
			return time.Duration(ahead) * SampleInterval
		}
		wasHigh = isHigh
	}
	return d.Period()
}

// periodicLevel returns the level one period before the time that is ahead samples from now.
func (d *Demand) periodicLevel(ahead int) float64 {
	back := d.period - ahead%d.period
	return d.levels[max(len(d.levels)-1-back, 0)]
}

// detectPeriod sets the period to the shortest lag with a high autocorrelation, or to 0 if
// there is none. Samples of two complete periods are necessary.
func (d *Demand) detectPeriod() {
	d.period = 0
	correlations := map[int]float64{}
	most := 0.0
	for lag := minLag; lag <= maxLag && 2*lag <= len(d.levels); lag++ {
		correlations[lag] = d.correlationAt(lag)
		most = max(most, correlations[lag])
	}
	if most < minCorrelation {
		return
	}
	lag := minLag
	for correlations[lag] < max(most-correlationTolerance, minCorrelation) {
		lag++
	}
	for correlations[lag+1] > correlations[lag] {
		lag++
	}
	d.period = lag
}

// correlationTolerance is how far below the maximum the correlation of a shorter period may
// be. Multiples of a period correlate as well and may exceed it by chance.
const correlationTolerance = 0.15

// correlationAt returns the correlation of the last lag samples with the lag samples before
// them, or 0 if either swings too little or there are too few transitions.
func (d *Demand) correlationAt(lag int) float64 {
	end := len(d.levels)
	later, earlier := d.levels[end-lag:], d.levels[end-2*lag:end-lag]
	minSwing := minSwing * float64(d.slots)
	if swing(later) <= minSwing || swing(earlier) <= minSwing || transitions(d.levels[end-2*lag:]) < minTransitions {
		return 0
	}
	return correlation(later, earlier)
}

func correlation(xs, ys []float64) float64 {
	xMean, yMean := mean(xs), mean(ys)
	product, xSquare, ySquare := 0.0, 0.0, 0.0
	for index := range xs {
		x, y := xs[index]-xMean, ys[index]-yMean
		product += x * y
		xSquare += x * x
		ySquare += y * y
	}
	return product / math.Sqrt(xSquare*ySquare)
}

func swing(levels []float64) float64 { return slices.Max(levels) - slices.Min(levels) }

// minTransitions is the minimum number of transitions in two periods. A jump or a slow rise
// has one, a single burst two.
const minTransitions = 3

// transitions counts the changes between the lowest and the highest quarter of the levels.
func transitions(levels []float64) int {
	least, quarter := slices.Min(levels), swing(levels)/4
	count, wasHigh, isKnown := 0, false, false
	for _, level := range levels {
		isHigh, isLow := level > least+3*quarter, level < least+quarter
		if !isHigh && !isLow {
			continue
		}
		if isKnown && isHigh != wasHigh {
			count++
		}
		wasHigh, isKnown = isHigh, true
	}
	return count
}

func mean(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total / float64(len(values))
}
