package slotqueue_test

import (
	"math/rand/v2"
	"time"

	"topazpulley/internal/slotqueue"
)

// The load is played in steps of a millisecond.
const (
	backends     = 60
	slots        = 8
	objective    = 300 * time.Millisecond
	patience     = 2 * time.Second
	queueAfter   = 1200 * time.Millisecond
	meanHeld     = 700 * time.Millisecond
	meanAnswer   = 50 * time.Millisecond
	overloadTime = 4 * time.Second
	playedTime   = 8 * time.Second
	calmShare    = 0.5
	firstAsks    = 7
)

// caller is one request of the load.
type caller struct {
	arrived time.Duration
	asked   time.Duration
	answer  time.Duration
	// firstLeft counts the questions that are asked at once, before it waits.
	firstLeft int
}

// way is how requests wait: how long between two questions, and whether one that has
// waited for long is told that it gets no place; else it queues at a backend.
type way struct {
	pause        func(request slotqueue.Request, fleet slotqueue.Stats) time.Duration
	isTurnedAway func(fleet slotqueue.Stats) bool
}

var (
	// alone is how requests wait that know nothing of each other.
	alone = way{
		pause: func(request slotqueue.Request, _ slotqueue.Stats) time.Duration {
			return slotqueue.PauseWithoutStats(request)
		},
		isTurnedAway: func(slotqueue.Stats) bool { return false },
	}
	ordered = way{pause: slotqueue.Pause, isTurnedAway: func(fleet slotqueue.Stats) bool { return fleet.IsOverloaded(objective) }}
)

// outcome is what became of the requests that came during the overload, and of the
// room. Lost are those whose callers have left before their first output.
type outcome struct {
	inTime, late, lost, turnedAway int
	// unused is the part of the room that stood empty while requests waited.
	unused float64
}

func (o outcome) share() float64 {
	return float64(o.inTime) / float64(o.inTime+o.late+o.lost+o.turnedAway)
}

// load plays a fleet whose requests compete for places.
type load struct {
	way    way
	age    time.Duration
	random *rand.Rand

	now     time.Duration
	waiting []*caller
	queues  [backends][]*caller
	ends    [backends][]time.Duration
	freed   slotqueue.Rate
	lead    slotqueue.FirstOutputTime
	told    []slotqueue.Stats
	result  outcome
	steps   int
	empty   float64
}

// play has places come free at a rate of so many times the demand for a while, with
// sums that are so old.
func play(how way, ratio float64, age time.Duration, seed uint64) outcome {
	played := &load{way: how, age: age, random: rand.New(rand.NewPCG(seed, seed))}
	capacity := float64(backends*slots) / meanHeld.Seconds()
	for ; played.now < playedTime+patience; played.now += time.Millisecond {
		demand := capacity * calmShare
		isCrowded := played.now >= time.Second && played.now < time.Second+overloadTime
		if isCrowded {
			demand = capacity / ratio
		}
		if played.now < playedTime {
			played.arrive(demand / 1000)
		}
		played.step(isCrowded)
	}
	played.result.unused = played.empty / float64(max(played.steps, 1))
	return played.result
}

func (l *load) at() time.Time { return time.Unix(100, 0).Add(l.now) }

func (l *load) arrive(mean float64) {
	for mean > 0 && l.random.Float64() < mean {
		answer := meanAnswer/2 + time.Duration(l.random.Int64N(int64(meanAnswer)))
		l.waiting = append(l.waiting, &caller{arrived: l.now, asked: l.now, answer: answer, firstLeft: firstAsks})
		mean--
	}
}

func (l *load) step(isCrowded bool) {
	for index := range l.ends {
		l.endAt(index)
	}
	l.tell()
	kept := l.waiting[:0]
	l.random.Shuffle(len(l.waiting), func(one, other int) { l.waiting[one], l.waiting[other] = l.waiting[other], l.waiting[one] })
	for _, each := range l.waiting {
		if !l.goOn(each) {
			kept = append(kept, each)
		}
	}
	l.waiting = kept
	if isCrowded && len(l.waiting) > 0 {
		l.steps++
		for index := range l.ends {
			l.empty += float64(slots-len(l.ends[index])) / (slots * backends)
		}
	}
}

// endAt frees the places of requests that end, for those in the backend's queue first.
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

// goOn has a request ask if it may, and reports whether it waits no more.
func (l *load) goOn(each *caller) bool {
	if l.now-each.arrived >= queueAfter {
		if l.way.isTurnedAway(l.told[0]) {
			l.countTurnedAway(each)
			return true
		}
		at := l.random.IntN(backends)
		l.queues[at] = append(l.queues[at], each)
		return true
	}
	until := each.arrived + objective - l.lead.Within(objective)
	pause := l.way.pause(slotqueue.Request{Remaining: until - l.now}, l.told[0])
	if each.firstLeft > 0 {
		each.firstLeft--
		pause = 2 * time.Millisecond
	}
	if l.now-each.asked < pause/2+time.Duration(l.random.Int64N(int64(pause))) {
		return false
	}
	each.asked = l.now
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

func (l *load) countTurnedAway(each *caller) {
	if each.isCounted() {
		l.result.turnedAway++
	}
}

func (l *load) run(each *caller, at int) {
	held := meanHeld/2 + time.Duration(l.random.Int64N(int64(meanHeld)))
	l.ends[at] = append(l.ends[at], l.now+held)
	l.lead.Add(each.answer)
	first := l.now + each.answer - each.arrived
	if !each.isCounted() {
		return
	}
	switch {
	case first <= objective:
		l.result.inTime++
	case first <= patience:
		l.result.late++
	default:
		l.result.lost++
	}
}

// tell keeps the sums of each step; the oldest kept is the newest that all know.
func (l *load) tell() {
	sums := slotqueue.Stats{FreedSlots: l.freed.Count(l.at())}
	for _, each := range l.waiting {
		if l.now < each.arrived+objective-l.lead.Within(objective) {
			sums.OnTime++
			continue
		}
		sums.Overdue++
	}
	l.told = append(l.told, sums)
	if len(l.told) > int(l.age/time.Millisecond) {
		l.told = l.told[1:]
	}
}
