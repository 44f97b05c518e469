package slotqueue_test

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/slotqueue"
)

// Parameters of the simulated load. A simulation advances in steps of a millisecond.
const (
	backends      = 60
	slots         = 8
	objective     = 300 * time.Millisecond
	callerTimeout = 2 * time.Second
	queueAfter    = 1200 * time.Millisecond
	meanRunTime   = 700 * time.Millisecond
	meanAnswer    = 50 * time.Millisecond
	overloadTime  = 4 * time.Second
	simulatedTime = 8 * time.Second
	normalShare   = 0.5
	firstAttempts = 7
)

// caller is one simulated request.
type caller struct {
	arrived   time.Duration
	attempted time.Duration
	answer    time.Duration
	// firstRemaining counts the remaining attempts with a short pause, before Pause applies.
	firstRemaining int
}

// strategy is how requests wait: the pause between two attempts, and whether a request
// is rejected after queueAfter; otherwise it queues at a backend.
type strategy struct {
	pause      func(request slotqueue.Request, fleet slotqueue.Stats) time.Duration
	isRejected func(fleet slotqueue.Stats) bool
}

var (
	// independent requests use no queue statistics.
	independent = strategy{
		pause: func(request slotqueue.Request, _ slotqueue.Stats) time.Duration {
			return slotqueue.PauseWithoutStats(request)
		},
		isRejected: func(slotqueue.Stats) bool { return false },
	}
	// coordinated requests use the queue statistics of the fleet.
	coordinated = strategy{pause: slotqueue.Pause, isRejected: func(fleet slotqueue.Stats) bool { return fleet.IsOverloaded(objective) }}
)

// outcome counts the requests that arrived during the overload by their result. The
// callers of lost requests left before the first output.
type outcome struct {
	onTime, overdue, lost, rejected int
	// unused is the share of slots that were free while requests waited.
	unused float64
}

func (o outcome) share() float64 {
	return float64(o.onTime) / float64(o.onTime+o.overdue+o.lost+o.rejected)
}

// load simulates a fleet whose requests compete for slots.
type load struct {
	strategy strategy
	age      time.Duration
	random   *rand.Rand

	now           time.Duration
	waiting       []*caller
	queues        [backends][]*caller
	ends          [backends][]time.Duration
	freed         slotqueue.Rate
	firstOutput   slotqueue.FirstOutputTime
	stats         []slotqueue.Stats
	result        outcome
	overloadSteps int
	freeSum       float64
}

// simulate simulates an overload in which slots are freed at ratio times the demand and
// the queue statistics have the given age.
func simulate(strategy strategy, ratio float64, age time.Duration, seed uint64) outcome {
	simulated := &load{strategy: strategy, age: age, random: rand.New(rand.NewPCG(seed, seed))}
	capacity := float64(backends*slots) / meanRunTime.Seconds()
	for ; simulated.now < simulatedTime+callerTimeout; simulated.now += time.Millisecond {
		demand := capacity * normalShare
		isOverloaded := simulated.now >= time.Second && simulated.now < time.Second+overloadTime
		if isOverloaded {
			demand = capacity / ratio
		}
		if simulated.now < simulatedTime {
			simulated.arrive(demand / 1000)
		}
		simulated.step(isOverloaded)
	}
	simulated.result.unused = simulated.freeSum / float64(max(simulated.overloadSteps, 1))
	return simulated.result
}

func (l *load) at() time.Time { return time.Unix(100, 0).Add(l.now) }

func (l *load) arrive(mean float64) {
	for mean > 0 && l.random.Float64() < mean {
		answer := meanAnswer/2 + time.Duration(l.random.Int64N(int64(meanAnswer)))
		l.waiting = append(l.waiting, &caller{arrived: l.now, attempted: l.now, answer: answer, firstRemaining: firstAttempts})
		mean--
	}
}

func (l *load) step(isOverloaded bool) {
	for index := range l.ends {
		l.endAt(index)
	}
	l.publish()
	waiting := l.waiting[:0]
	l.random.Shuffle(len(l.waiting), func(one, other int) { l.waiting[one], l.waiting[other] = l.waiting[other], l.waiting[one] })
	for _, each := range l.waiting {
		if !l.attempt(each) {
			waiting = append(waiting, each)
		}
	}
	l.waiting = waiting
	if isOverloaded && len(l.waiting) > 0 {
		l.overloadSteps++
		for index := range l.ends {
			l.freeSum += float64(slots-len(l.ends[index])) / (slots * backends)
		}
	}
}

// endAt frees the slots of finished requests and starts requests from the backend's queue.
func (l *load) endAt(index int) {
	running := l.ends[index][:0]
	for _, end := range l.ends[index] {
		if end <= l.now {
			l.freed.Add(l.at())
			continue
		}
		running = append(running, end)
	}
	l.ends[index] = running
	for len(l.queues[index]) > 0 && len(l.ends[index]) < slots {
		first := l.queues[index][0]
		l.queues[index] = l.queues[index][1:]
		l.run(first, index)
	}
}

// attempt makes an attempt if the pause is over. It reports whether the request stopped
// waiting.
func (l *load) attempt(each *caller) bool {
	if l.now-each.arrived >= queueAfter {
		if l.strategy.isRejected(l.stats[0]) {
			l.countRejected(each)
			return true
		}
		at := l.random.IntN(backends)
		l.queues[at] = append(l.queues[at], each)
		return true
	}
	until := each.arrived + objective - l.firstOutput.Within(objective)
	pause := l.strategy.pause(slotqueue.Request{Remaining: until - l.now}, l.stats[0])
	if each.firstRemaining > 0 {
		each.firstRemaining--
		pause = 2 * time.Millisecond
	}
	if l.now-each.attempted < pause/2+time.Duration(l.random.Int64N(int64(pause))) {
		return false
	}
	each.attempted = l.now
	at := l.random.IntN(backends)
	if len(l.ends[at]) >= slots {
		return false
	}
	l.run(each, at)
	return true
}

func (c *caller) isCounted() bool {
	return c.arrived >= time.Second && c.arrived < time.Second+overloadTime
}

func (l *load) countRejected(each *caller) {
	if each.isCounted() {
		l.result.rejected++
	}
}

func (l *load) run(each *caller, at int) {
	runTime := meanRunTime/2 + time.Duration(l.random.Int64N(int64(meanRunTime)))
	l.ends[at] = append(l.ends[at], l.now+runTime)
	l.firstOutput.Add(each.answer)
	first := l.now + each.answer - each.arrived
	if !each.isCounted() {
		return
	}
	switch {
	case first <= objective:
		l.result.onTime++
	case first <= callerTimeout:
		l.result.overdue++
	default:
		l.result.lost++
	}
}

// publish appends the statistics of this step; the first element is the one that
// requests see, l.age old.
func (l *load) publish() {
	stats := slotqueue.Stats{FreedSlots: l.freed.Count(l.at())}
	for _, each := range l.waiting {
		if l.now < each.arrived+objective-l.firstOutput.Within(objective) {
			stats.OnTime++
			continue
		}
		stats.Overdue++
	}
	l.stats = append(l.stats, stats)
	if len(l.stats) > int(l.age/time.Millisecond) {
		l.stats = l.stats[1:]
	}
}
