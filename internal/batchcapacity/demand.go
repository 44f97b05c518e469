// Package batchcapacity decides how many batch items a fleet's backends should run beside
// online requests: how much room batch has now and through the next burst, whether
// online demand comes in a rhythm, and which items wait for their turn. It is pure: it
// works from the load that a daemon sees, and is told the time.
package batchcapacity

import (
	"math"
	"slices"
	"time"
)

const (
	// SampleInterval is the time between two samples of demand. Daemons hear of each
	// other's work a few times a second at best.
	SampleInterval = 100 * time.Millisecond
	// remembered is how many samples are kept: two of the longest period that is
	// looked for.
	remembered = 2 * longestLag
	// longestLag and shortestLag bound the periods that are looked for, in samples. A
	// longer one is of no use to items, which run for seconds; a shorter one comes and
	// goes within the time in which daemons hear of each other.
	longestLag  = 120
	shortestLag = 20
	// seekEvery is after how many samples the rhythm is looked for again.
	seekEvery = 5
	// leastLikeness is the correlation of one period with the one before from which
	// on it is a rhythm. Bursts of equal height in noise come above 0.9; a single
	// jump or a slow rise is as like itself, and is told by minPeriodTurns.
	leastLikeness = 0.75
	// leastSwing is the part of the slots by which online work must rise and fall in
	// a rhythm for it to matter to batch.
	leastSwing = 0.1
)

// noiseDeviations is how many standard deviations online work must change by for it to be
// no chance: requests that come independently vary by the square root of their number.
const noiseDeviations = 2

// Load is a service's load as a daemon sees it.
type Load struct {
	// Backends are those that take work, and Slots theirs.
	Backends int
	Slots    int
	// Online and Batch are the requests in flight there from all daemons.
	Online int
	Batch  int
}

// Demand remembers the online work of a service over the last seconds. It belongs to
// one goroutine.
type Demand struct {
	levels   []float64
	at       time.Time
	slots    int
	period   int
	unsought int
}

// Note records the load at a time. Samples that were missed count as the last one.
func (d *Demand) Note(load Load, now time.Time) {
	missed := int(now.Sub(d.at)/SampleInterval) - 1
	if d.at.IsZero() || missed > remembered {
		d.levels, d.period, missed = nil, 0, 0
	}
	for range missed {
		d.push(d.levels[len(d.levels)-1])
	}
	d.push(float64(load.Online))
	d.at, d.slots = now, load.Slots
	d.unsought++
	if d.unsought >= seekEvery {
		d.unsought = 0
		d.seek()
	}
}

func (d *Demand) push(level float64) {
	d.levels = append(d.levels, level)
	if len(d.levels) > remembered {
		d.levels = append(d.levels[:0], d.levels[len(d.levels)-remembered:]...)
	}
}

// Period is the time in which online demand repeats itself; 0 means that no rhythm
// shows.
func (d *Demand) Period() time.Duration { return time.Duration(d.period) * SampleInterval }

// Forecast is the most online work that the rhythm brings between two times from now.
// It reports false while no rhythm shows.
func (d *Demand) Forecast(from, to time.Duration) (int, bool) {
	if d.period == 0 {
		return 0, false
	}
	most := 0.0
	for ahead := int(from / SampleInterval); ahead <= int(to/SampleInterval); ahead++ {
		most = max(most, d.periodAgo(ahead))
	}
	return int(math.Ceil(most)), true
}

// Mean is the online work in the mean over what is remembered, in whole periods if a
// rhythm shows; unknown if nothing is.
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

// Rise is how much more online work there is than so long ago, 0 if the difference may be
// chance.
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

// UntilValley is how long it takes until the burst that the rhythm brings next, or that
// runs, is over; 0 while no rhythm shows.
func (d *Demand) UntilValley() time.Duration {
	middle := float64(d.Mean(0))
	wasHigh := false
	for ahead := range d.period {
		isHigh := d.periodAgo(ahead) > middle
		if wasHigh && !isHigh {
			return time.Duration(ahead) * SampleInterval
		}
		wasHigh = isHigh
	}
	return d.Period()
}

// periodAgo is the level of one period before the time that lies so many samples ahead.
func (d *Demand) periodAgo(ahead int) float64 {
	back := d.period - ahead%d.period
	return d.levels[max(len(d.levels)-1-back, 0)]
}

// seek looks for the shortest period at which demand is like itself, and forgets one at
// which it no longer is. Two whole periods must have been seen.
func (d *Demand) seek() {
	d.period = 0
	likenesses := map[int]float64{}
	most := 0.0
	for lag := shortestLag; lag <= longestLag && 2*lag <= len(d.levels); lag++ {
		likenesses[lag] = d.likeness(lag)
		most = max(most, likenesses[lag])
	}
	if most < leastLikeness {
		return
	}
	lag := shortestLag
	for likenesses[lag] < max(most-likenessTolerance, leastLikeness) {
		lag++
	}
	for likenesses[lag+1] > likenesses[lag] {
		lag++
	}
	d.period = lag
}

// likenessTolerance is how much less like itself demand may be at a shorter period: twice
// a period is one too, and by chance the likelier.
const likenessTolerance = 0.15

// likeness is the correlation of the last lag samples with those before them, 0 where
// demand does not rise and fall by enough in both.
func (d *Demand) likeness(lag int) float64 {
	end := len(d.levels)
	late, early := d.levels[end-lag:], d.levels[end-2*lag:end-lag]
	leastSwing := leastSwing * float64(d.slots)
	if swing(late) <= leastSwing || swing(early) <= leastSwing || turns(d.levels[end-2*lag:]) < minPeriodTurns {
		return 0
	}
	return correlation(late, early)
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

// minPeriodTurns is how often demand goes from low to high or back in two periods at
// least. A jump or a slow rise does so once, a single burst twice, and each is like
// itself a while before.
const minPeriodTurns = 3

// turns counts how often levels go from their lowest quarter to their highest or back.
func turns(levels []float64) int {
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
