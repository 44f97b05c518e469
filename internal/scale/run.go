package scale

import (
	"fmt"
	"io"
	"runtime"
	"sort"
	"time"

	"topazpulley/internal/membership"
)

// Budgets of the control plane per daemon, from the users' letter.
const (
	BudgetBytesPerSecond = 8 * 1000
	BudgetCoreShare      = 0.035
	BudgetMemoryBytes    = 32 << 20
	BudgetRevision       = 13 * time.Second
)

// Result is what one step of a run measured.
type Result struct {
	Step string
	// Span is the virtual time that the step took.
	Span time.Duration
	// SentMean, SentP99 and ReceivedMean are bytes a second a daemon,
	// headers included.
	SentMean, SentP99, ReceivedMean float64
	// Packets are those sent and received, a second a daemon.
	Packets float64
	// CoreShare is processor time as a share of one core, mean a daemon.
	CoreShare float64
	// Took is how long the step's change needed to be known everywhere, if it
	// has one.
	Took time.Duration
	// Known tells whether it was known everywhere within the step's bound.
	Known bool
	// Suspicions and Deaths are those raised by all daemons in the step.
	Suspicions, Deaths uint64
	// DutiesMoved counts engines whose supervisor changed.
	DutiesMoved int
	Note        string
}

// snapshot holds counters at the start of a step.
type snapshot struct {
	at         time.Time
	sent       []uint64
	received   uint64
	packets    uint64
	processor  time.Duration
	suspicions uint64
	deaths     uint64
	owners     map[int]int
}

func (n *Network) snapshot() snapshot {
	taken := snapshot{at: n.now, suspicions: n.suspicions(), deaths: n.deaths(), owners: n.ownerByEngine()}
	for _, daemon := range n.daemons {
		taken.sent = append(taken.sent, daemon.sentBytes)
		taken.received += daemon.receivedBytes
		taken.packets += daemon.packets
		taken.processor += daemon.processor
	}
	return taken
}

// ownerByEngine returns the supervisor of each engine, the lowest if several
// daemons believe to be it.
func (n *Network) ownerByEngine() map[int]int {
	owners := map[int]int{}
	for index := len(n.daemons) - 1; index >= 0; index-- {
		if daemon := n.daemons[index]; daemon.up {
			for _, engine := range daemon.supervised {
				owners[engine] = index
			}
		}
	}
	return owners
}

func (n *Network) since(start snapshot, step string) Result {
	span := n.now.Sub(start.at)
	seconds := span.Seconds()
	count := float64(len(n.daemons))
	now := n.snapshot()
	rates := make([]float64, len(now.sent))
	total := 0.0
	for index := range now.sent {
		rates[index] = float64(now.sent[index]-start.sent[index]) / seconds
		total += rates[index]
	}
	sort.Float64s(rates)
	moved := 0
	for engine, owner := range now.owners {
		if before, known := start.owners[engine]; known && before != owner {
			moved++
		}
	}
	return Result{
		Step: step, Span: span, SentMean: total / count, SentP99: rates[len(rates)*99/100],
		ReceivedMean: float64(now.received-start.received) / seconds / count,
		Packets:      float64(now.packets-start.packets) / seconds / count,
		CoreShare:    (now.processor - start.processor).Seconds() / seconds / count,
		Suspicions:   now.suspicions - start.suspicions, Deaths: now.deaths - start.deaths, DutiesMoved: moved,
	}
}

// step runs a change and measures until it is known everywhere, then until the
// span has passed.
func (n *Network) step(title string, span time.Duration, change func(), known func() bool) Result {
	start := n.snapshot()
	change()
	took, ok := time.Duration(0), true
	if known != nil {
		took, ok = n.RunUntil(span, 100*time.Millisecond, known)
	}
	if rest := span - n.now.Sub(start.at); rest > 0 {
		n.Run(rest)
	}
	result := n.since(start, title)
	result.Took, result.Known = took, ok
	return result
}

// Config describes a run.
type Config struct {
	Topology
	Seed uint64
	// Short leaves out the compressed day.
	Short bool
}

// steps of a run have these lengths of virtual time.
const (
	steadySpan   = 60 * time.Second
	changeSpan   = 40 * time.Second
	daySpan      = 6 * time.Minute
	cutSpan      = 90 * time.Second
	failuresDay  = 13
	restartsDay  = 360
	changesDay   = 770
	changesBurst = 10
	rackSize     = 12
	pausedCount  = 10
	pauseLength  = 4 * time.Second
)

// Run builds a fleet in virtual time and puts it through the steps.
func Run(config Config, progress io.Writer) []Result {
	memoryBefore := heapInUse()
	network := NewNetwork(config.Topology, membership.DefaultConfig(time.Second), config.Seed)
	results := []Result{}
	add := func(result Result) {
		results = append(results, result)
		fmt.Fprintln(progress, result.Line())
	}
	nothing := func() {}
	add(network.step("all start at once", changeSpan, nothing, func() bool { return network.everyoneKnows(config.Daemons) }))
	network.Run(steadySpan)
	steady := network.step("steady state", steadySpan, nothing, nil)
	age, missing := network.loadAge()
	perDaemon := (heapInUse() - memoryBefore) / uint64(config.Daemons)
	steady.Note = fmt.Sprintf("load records are %s old on average, %.2f%% missing; state %.2f MB a daemon", age.Round(10*time.Millisecond), missing*100, float64(perDaemon)/(1<<20))
	add(steady)
	network.failures(config, add)
	return results
}

func heapInUse() uint64 {
	runtime.GC()
	statistics := runtime.MemStats{}
	runtime.ReadMemStats(&statistics)
	return statistics.HeapInuse
}

// failures puts a steady fleet through the steps that change it.
func (n *Network) failures(config Config, add func(Result)) {
	all := config.Daemons
	add(n.step("one daemon fails", changeSpan, func() { n.daemons[all/2].up = false }, func() bool { return n.nobodyBelieves(all / 2) }))
	add(n.step("it comes back", changeSpan, func() { n.boot(n.daemons[all/2]) }, func() bool { return n.everyoneKnows(all) }))
	add(n.step("one daemon leaves as planned", changeSpan, func() { n.leave(n.daemons[all/3]) }, func() bool { return n.nobodyBelieves(all / 3) }))
	n.boot(n.daemons[all/3])
	n.Run(changeSpan)
	add(n.pausedStep())
	add(n.revisionStep("one revision", 1))
	add(n.revisionStep("burst of ten revisions", changesBurst))
	if !config.Short {
		add(n.dayStep())
	}
	add(n.rackStep())
	n.zoneSteps(add)
	n.regionSteps(add)
}

func (n *Network) leave(daemon *hollow) {
	n.measure(daemon, func() []membership.Datagram { return daemon.core.Leave(n.now) })
	daemon.up = false
}

// pausedStep stops some daemons for longer than a probe takes.
func (n *Network) pausedStep() Result {
	result := n.step(fmt.Sprintf("%d daemons pause for %s", pausedCount, pauseLength), changeSpan, func() {
		for index := range pausedCount {
			n.daemons[index*len(n.daemons)/pausedCount].pausedUntil = n.now.Add(pauseLength)
		}
	}, nil)
	result.Note = "deaths here are false"
	return result
}

func (n *Network) highestRevision() int64 {
	highest := int64(0)
	for _, daemon := range n.daemons {
		highest = max(highest, daemon.revision)
	}
	return highest
}

func (n *Network) revisionStep(title string, count int64) Result {
	target := n.highestRevision() + count
	return n.step(title, changeSpan, func() {
		for offset := range count {
			n.after(time.Duration(offset)*100*time.Millisecond, func() { n.applyRevision(n.daemons[int(offset)%len(n.daemons)], target-count+offset+1) })
		}
	}, func() bool { return n.everyoneServes(target) })
}

// dayStep compresses a day's failures, restarts and changes into daySpan.
func (n *Network) dayStep() Result {
	first := n.highestRevision()
	result := n.step("a day in six minutes", daySpan, func() {
		for range failuresDay {
			n.after(time.Duration(n.random.Int64N(int64(daySpan))), func() { n.restart(n.random.IntN(len(n.daemons)), 30*time.Second) })
		}
		for range restartsDay {
			n.after(time.Duration(n.random.Int64N(int64(daySpan))), func() { n.restart(n.random.IntN(len(n.daemons)), 2*time.Second) })
		}
		for change := range changesDay {
			at := time.Duration(int64(daySpan) * int64(change) / changesDay)
			n.after(at, func() { n.applyRevision(n.anyUp(), first+int64(change)+1) })
		}
	}, nil)
	n.Run(changeSpan)
	return result
}

func (n *Network) restart(index int, after time.Duration) {
	daemon := n.daemons[index]
	if !daemon.up {
		return
	}
	daemon.up = false
	n.after(after, func() {
		if !daemon.up {
			n.boot(daemon)
		}
	})
}

func (n *Network) anyUp() *hollow {
	for {
		if daemon := n.daemons[n.random.IntN(len(n.daemons))]; daemon.up {
			return daemon
		}
	}
}

// rackStep loses several daemons of one zone at once and brings them back.
func (n *Network) rackStep() Result {
	lost := []int{}
	for _, daemon := range n.daemons {
		if daemon.zone == 0 && len(lost) < rackSize {
			lost = append(lost, daemon.index)
		}
	}
	result := n.step(fmt.Sprintf("a rack of %d is lost", len(lost)), changeSpan, func() {
		for _, index := range lost {
			n.daemons[index].up = false
		}
	}, func() bool { return n.everyoneKnows(len(n.daemons) - len(lost)) })
	for _, index := range lost {
		n.boot(n.daemons[index])
	}
	n.Run(changeSpan)
	return result
}

func (n *Network) zoneSteps(add func(Result)) {
	inZone := 0
	for _, daemon := range n.daemons {
		if daemon.zone == 0 {
			inZone++
		}
	}
	add(n.step("a zone is lost", cutSpan, func() {
		for _, daemon := range n.daemons {
			daemon.up = daemon.up && daemon.zone != 0
		}
	}, func() bool { return n.everyoneKnows(len(n.daemons) - inZone) }))
	add(n.step("it comes back", cutSpan, func() {
		for _, daemon := range n.daemons {
			if daemon.zone == 0 {
				n.boot(daemon)
			}
		}
	}, func() bool { return n.everyoneKnows(len(n.daemons)) }))
}

// regionSteps cuts one region off, makes a revision meanwhile, and heals.
func (n *Network) regionSteps(add func(Result)) {
	revision := n.highestRevision() + 1
	add(n.step("a region is cut off", cutSpan, func() {
		n.cut = func(from, to *hollow) bool { return (from.region == 0) != (to.region == 0) }
		n.applyRevision(n.daemonOutside(0), revision)
	}, nil))
	add(n.step("it heals: revision everywhere", cutSpan, func() {
		n.cut = func(*hollow, *hollow) bool { return false }
	}, func() bool { return n.everyoneServes(revision) }))
	add(n.step("it heals: members everywhere", cutSpan, func() {}, func() bool { return n.everyoneKnows(len(n.daemons)) }))
}

func (n *Network) daemonOutside(region int) *hollow {
	for _, daemon := range n.daemons {
		if daemon.region != region {
			return daemon
		}
	}
	return n.daemons[0]
}

// Line renders a result as one line of key=value pairs.
func (r Result) Line() string {
	return fmt.Sprintf("step=%q sent=%.0fB/s p99=%.0fB/s received=%.0fB/s packets=%.1f/s core=%.3f%% took=%s known=%t suspicions=%d deaths=%d duties_moved=%d note=%q",
		r.Step, r.SentMean, r.SentP99, r.ReceivedMean, r.Packets, r.CoreShare*100, r.Took.Round(10*time.Millisecond), r.Known, r.Suspicions, r.Deaths, r.DutiesMoved, r.Note)
}
