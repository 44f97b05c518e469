package job

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/batchcapacity"
	"topazpulley/internal/routing"
)

// The simulated fleet. Load reports of owners are 100 to 400 ms old.
const (
	loadStep       = 10 * time.Millisecond
	loadBackends   = 30
	loadSlots      = 8
	loadOwners     = 20
	loadSpan       = 60 * time.Second
	loadItemTime   = 4500 * time.Millisecond
	loadItemsDue   = 18 * time.Second
	loadJobItems   = 10
	loadOnlineTime = 500 * time.Millisecond
	loadObjective  = 300 * time.Millisecond
	loadReportAge  = 300 * time.Millisecond
	// onlineReportAge is the age of the loads that online requests use.
	onlineReportAge = 100 * time.Millisecond
	// loadAttempts is the number of backends that a request tries before it waits.
	loadAttempts = 8
)

// loadItem is an item of the simulation.
type loadItem struct {
	owner     *loadOwner
	due       time.Time
	remaining time.Duration
	at        int
	since     time.Time
	// notBefore is the time before which a preempted or refused item is not placed.
	notBefore time.Time
}

// loadOwner is an owner with its own view of the fleet.
type loadOwner struct {
	age             time.Duration
	waiting         []*loadItem
	running         []*loadItem
	placer          *placer
	capacityTracker *capacityTracker
}

// loadRequest is an online request without a slot.
type loadRequest struct {
	arrived        time.Time
	failedAttempts int
	next           time.Time
	// attempted are the backends that had no free slot.
	attempted [loadBackends]bool
}

// loadSnapshot is the work of the fleet at one time.
type loadSnapshot struct {
	online, batch [loadBackends]int
	waiting       int
}

// loadResult is the result of a simulation.
type loadResult struct {
	sent, preempted, refused, done, overdue, requests, overdueRequests, noSlot int
}

func (p loadResult) preemptionsPerItem() float64 {
	return float64(p.preempted) / float64(max(p.done, 1))
}

func (p loadResult) String() string {
	return fmt.Sprintf("preemptions per item %.2f, items done %d, overdue %d, sent %d, refused %d; requests %d, overdue %d, without a slot %d",
		p.preemptionsPerItem(), p.done, p.overdue, p.sent, p.refused, p.requests, p.overdueRequests, p.noSlot)
}

// loadSimulation simulates online requests and batch items in virtual time.
type loadSimulation struct {
	// arrivals and random are separate, so that every policy gets the same work.
	arrivals  *rand.Rand
	random    *rand.Rand
	now       time.Time
	online    [loadBackends][]time.Time
	items     [loadBackends][]*loadItem
	snapshots []loadSnapshot
	owners    []*loadOwner
	requests  []*loadRequest
	result    loadResult
}

func newLoadSimulation(policy batchcapacity.Policy, seed uint64) *loadSimulation {
	simulated := &loadSimulation{arrivals: rand.New(rand.NewPCG(1, seed)), random: rand.New(rand.NewPCG(2, seed)), now: time.Unix(1000, 0)}
	for index := range uint64(loadOwners) {
		owner := &loadOwner{age: 100*time.Millisecond + time.Duration(simulated.random.IntN(300))*time.Millisecond, capacityTracker: newCapacityTracker(policy, rand.New(rand.NewPCG(index, seed)))}
		owner.placer = newPlacer(rand.New(rand.NewPCG(seed, index)), "", func(string, time.Time) batchcapacity.Capacity { return simulated.capacityOf(owner) })
		simulated.owners = append(simulated.owners, owner)
	}
	return simulated
}

// snapshotAt returns the work of the fleet as it was the given age ago.
func (w *loadSimulation) snapshotAt(age time.Duration) loadSnapshot {
	return w.snapshots[max(len(w.snapshots)-1-int(age/loadStep), 0)]
}

// candidates returns the backends as an owner observes them. Its own items are current.
func (w *loadSimulation) candidates(owner *loadOwner) []routing.Candidate {
	snapshot, own, ownReported := w.snapshotAt(owner.age), [loadBackends]int{}, [loadBackends]int{}
	for _, item := range owner.running {
		own[item.at]++
		if w.now.Sub(item.since) >= owner.age {
			ownReported[item.at]++
		}
	}
	candidates := []routing.Candidate{}
	for index := range loadBackends {
		batch := max(snapshot.batch[index]-ownReported[index], 0) + own[index]
		candidates = append(candidates, routing.Candidate{
			ID: fmt.Sprint("b", index), Slots: loadSlots, Online: snapshot.online[index], Batch: batch, OwnBatch: own[index],
		})
	}
	return candidates
}

func (w *loadSimulation) load(owner *loadOwner) backend.ServiceLoad {
	load := backend.ServiceLoad{}
	for _, candidate := range w.candidates(owner) {
		load.Backends++
		load.Slots += candidate.Slots
		online := min(candidate.Online, loadSlots)
		load.Online += online
		load.Batch += min(candidate.Batch, loadSlots-online)
	}
	return load
}

func (w *loadSimulation) capacityOf(owner *loadOwner) batchcapacity.Capacity {
	return owner.capacityTracker.decide(owner.capacityTracker.policy, "s", w.load(owner), loadItemTime, loadReportAge)
}

// play runs the simulation; online returns the slots that online requests need.
func (w *loadSimulation) play(online func(time.Duration) float64, jobsPerSecond float64) loadResult {
	for at := time.Duration(0); at < loadSpan; at += loadStep {
		w.now = w.now.Add(loadStep)
		w.completeWork()
		w.recordSnapshot()
		if w.happens(jobsPerSecond * loadStep.Seconds()) {
			w.submit()
		}
		for arrivals := online(at) / loadOnlineTime.Seconds() * loadStep.Seconds(); arrivals > 0; arrivals-- {
			if arrivals >= 1 || w.happens(arrivals) {
				w.requests = append(w.requests, &loadRequest{arrived: w.now, next: w.now})
				w.result.requests++
			}
		}
		w.attemptAll()
		for index, owner := range w.owners {
			w.dispatchOwner(owner, at+time.Duration(index)*loadStep)
		}
	}
	return w.result
}

func (w *loadSimulation) happens(chance float64) bool { return w.arrivals.Float64() < chance }

func (w *loadSimulation) submit() {
	owner := w.owners[w.arrivals.IntN(loadOwners)]
	for range loadJobItems {
		owner.waiting = append(owner.waiting, &loadItem{owner: owner, due: w.now.Add(loadItemsDue), remaining: loadItemTime})
	}
}

func (w *loadSimulation) completeWork() {
	for index := range loadBackends {
		w.online[index] = slices.DeleteFunc(w.online[index], func(end time.Time) bool { return !w.now.Before(end) })
		for _, item := range slices.Clone(w.items[index]) {
			if w.now.Sub(item.since) < item.remaining {
				continue
			}
			w.remove(item)
			w.result.done++
			if w.now.After(item.due) {
				w.result.overdue++
			}
		}
	}
}

func (w *loadSimulation) remove(item *loadItem) {
	w.items[item.at] = slices.DeleteFunc(w.items[item.at], func(other *loadItem) bool { return other == item })
	item.owner.running = slices.DeleteFunc(item.owner.running, func(other *loadItem) bool { return other == item })
}

func (w *loadSimulation) recordSnapshot() {
	snapshot := loadSnapshot{}
	for index := range loadBackends {
		snapshot.online[index], snapshot.batch[index] = len(w.online[index]), len(w.items[index])
	}
	for _, owner := range w.owners {
		snapshot.waiting += len(owner.waiting)
	}
	w.snapshots = append(w.snapshots, snapshot)
}

// dispatchOwner runs a dispatch round of an owner.
func (w *loadSimulation) dispatchOwner(owner *loadOwner, at time.Duration) {
	if at%dispatchInterval != 0 {
		return
	}
	owner.capacityTracker.recordLoad("s", w.load(owner), w.now)
	if owner.placer.isPaused(w.now) {
		return
	}
	ready := slices.DeleteFunc(slices.Clone(owner.waiting), func(item *loadItem) bool { return w.now.Before(item.notBefore) })
	slices.SortStableFunc(ready, func(a, b *loadItem) int { return a.due.Compare(b.due) })
	others := max(w.snapshotAt(owner.age).waiting-len(owner.waiting), 0)
	owner.placer.begin(len(ready), others, w.now, loadReportAge)
	for _, item := range ready {
		w.place(owner, item)
	}
}

func (w *loadSimulation) place(owner *loadOwner, item *loadItem) {
	timing := batchcapacity.Timing{UntilDue: item.due.Sub(w.now), Remaining: max(item.remaining, loadItemTime/4), Spare: urgentSlack, Wait: owner.placer.share("s").wait(loadItemTime)}
	backlog := batchcapacity.Backlog{Waiting: owner.placer.allWaiting, MeanSlots: owner.placer.share("s").meanSlots, ItemTime: loadItemTime}
	if owner.placer.isFull("s") || !owner.placer.hasCapacity("s", batchcapacity.MustRun(timing, backlog)) {
		return
	}
	chosen, found := owner.placer.choose("s", nil, w.candidates(owner), false)
	if !found {
		return
	}
	index := slices.IndexFunc(w.candidates(owner), func(each routing.Candidate) bool { return each.ID == chosen.ID })
	if w.isFull(index) {
		w.result.refused++
		item.notBefore = w.now.Add(refusedPause)
		return
	}
	owner.waiting = slices.DeleteFunc(owner.waiting, func(other *loadItem) bool { return other == item })
	item.at, item.since = index, w.now
	owner.running = append(owner.running, item)
	w.items[index] = append(w.items[index], item)
	w.result.sent++
}

func (w *loadSimulation) isFull(index int) bool {
	return len(w.online[index])+len(w.items[index]) >= loadSlots
}

// attemptAll sends requests without a slot to backends.
func (w *loadSimulation) attemptAll() {
	w.requests = slices.DeleteFunc(w.requests, func(request *loadRequest) bool {
		if w.now.Before(request.next) {
			return false
		}
		if w.attemptTwice(request) {
			if w.now.Sub(request.arrived) > loadObjective {
				w.result.overdueRequests++
			}
			return true
		}
		return false
	})
}

// attemptTwice tries two backends, which takes about one step.
func (w *loadSimulation) attemptTwice(request *loadRequest) bool {
	for range 2 {
		if w.attempt(request) {
			return true
		}
	}
	return false
}

// attempt tries one backend, drawn in proportion to its free slots.
func (w *loadSimulation) attempt(request *loadRequest) bool {
	index := w.draw(w.snapshotAt(onlineReportAge), request.attempted)
	if !w.isFull(index) {
		w.online[index] = append(w.online[index], w.now.Add(loadOnlineTime))
		return true
	}
	request.failedAttempts++
	request.attempted[index] = true
	if request.failedAttempts%2 == 0 {
		w.preempt()
	}
	if request.failedAttempts == loadAttempts {
		w.result.noSlot++
	}
	if request.failedAttempts >= loadAttempts {
		request.attempted = [loadBackends]bool{}
		request.next = w.now.Add(2 * loadStep)
	}
	return false
}

func (w *loadSimulation) draw(snapshot loadSnapshot, attempted [loadBackends]bool) int {
	weights, total := [loadBackends]int{}, 0
	for index := range loadBackends {
		if attempted[index] {
			continue
		}
		weights[index] = max(loadSlots-snapshot.online[index]-snapshot.batch[index], 0)
		total += weights[index]
	}
	if total == 0 {
		return w.random.IntN(loadBackends)
	}
	point := w.random.IntN(total)
	for index, weight := range weights {
		point -= weight
		if point < 0 {
			return index
		}
	}
	return loadBackends - 1
}

// preempt asks the owner of a random item to preempt it.
func (w *loadSimulation) preempt() {
	index := w.random.IntN(loadBackends)
	if len(w.items[index]) == 0 {
		return
	}
	item := w.items[index][w.random.IntN(len(w.items[index]))]
	owner := item.owner
	if owner.capacityTracker.policy != batchcapacity.PolicyFree && !owner.capacityTracker.mustPreempt("s", w.load(owner), len(owner.running), loadReportAge, w.now) {
		return
	}
	owner.placer.avoid(fmt.Sprint("b", index), w.now.Add(loadReportAge))
	owner.placer.pause(w.now.Add(preemptionPause))
	w.remove(item)
	item.remaining -= w.now.Sub(item.since)
	item.notBefore = w.now.Add(refusedPause)
	owner.waiting = append(owner.waiting, item)
	w.result.preempted++
}

// burstsOf returns a periodic load that alternates between two shares of the slots.
func burstsOf(low, high float64, period, burst time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at%period >= period-burst {
			return high * loadBackends * loadSlots
		}
		return low * loadBackends * loadSlots
	}
}

// TestPreemptionsPerItemAreBounded: the policies keep preemptions per item below a bound, and
// completed items, overdue items and overdue requests close to those of PolicyFree.
func TestPreemptionsPerItemAreBounded(t *testing.T) {
	all := float64(loadBackends * loadSlots)
	for _, each := range []struct {
		name   string
		online func(time.Duration) float64
		// reserve and periodic are the limits of preemptions per item, by policy.
		reserve, periodic float64
	}{
		{"bursts of 2.4 s in 5.8 s", burstsOf(0.15, 0.67, 5800*time.Millisecond, 2400*time.Millisecond), 0.7, 0.55},
		{"bursts of 4 s in 10 s", burstsOf(0.15, 0.67, 10*time.Second, 4*time.Second), 0.4, 0.25},
		{"constant load", func(time.Duration) float64 { return 0.45 * all }, 0.04, 0.04},
		{"one step", func(at time.Duration) float64 {
			if at < 30*time.Second {
				return 0.15 * all
			}
			return 0.6 * all
		}, 0.3, 0.3},
		{"slow rise", func(at time.Duration) float64 { return (0.1 + 0.5*at.Seconds()/60) * all }, 0.1, 0.1},
	} {
		t.Run(each.name, func(t *testing.T) {
			const jobsPerSecond = loadBackends * loadSlots / 4 / 4.5 / loadJobItems
			free := newLoadSimulation(batchcapacity.PolicyFree, 5).play(each.online, jobsPerSecond)
			t.Log("free:", free)
			require.Greater(t, free.preemptionsPerItem(), max(each.reserve, each.periodic), "the load does not distinguish the policies")
			for policy, most := range map[batchcapacity.Policy]float64{batchcapacity.PolicyReserve: each.reserve, batchcapacity.PolicyPeriodic: each.periodic} {
				decided := newLoadSimulation(policy, 5).play(each.online, jobsPerSecond)
				t.Log(policy, decided)
				require.LessOrEqual(t, decided.preemptionsPerItem(), most)
				require.GreaterOrEqual(t, float64(decided.done), 0.97*float64(free.done))
				require.LessOrEqual(t, decided.overdue, free.overdue+decided.done/50)
				require.LessOrEqual(t, decided.overdueRequests, free.overdueRequests+decided.requests/500)
			}
		})
	}
}
