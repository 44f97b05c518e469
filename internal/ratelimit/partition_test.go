package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// detection is the distribution of the times after which daemons detect that others are gone or
// back.
type detection struct {
	// first is the shortest time. Each daemon needs up to own longer, and up to pair longer for
	// each other daemon.
	first, own, pair time.Duration
}

// detections are a membership that removes a whole side at once and one that removes members
// one by one.
var detections = map[string]detection{
	"at once":             {first: 500 * time.Millisecond, own: 1100 * time.Millisecond, pair: 400 * time.Millisecond},
	"one after the other": {first: 500 * time.Millisecond, own: 500 * time.Millisecond, pair: 4 * time.Second},
}

// maxReconnect is how long a connection needs at most to recover after a partition.
const maxReconnect = 1200 * time.Millisecond

// grant is an admitted request.
type grant struct {
	at     time.Time
	source Source
	// isCutOff is true if the request arrived in the cut-off part.
	isCutOff bool
}

// outcome counts requests.
type outcome struct{ admitted, refused int }

func (o outcome) with(isAdmitted bool) outcome {
	if isAdmitted {
		o.admitted++
	} else {
		o.refused++
	}
	return o
}

func (o outcome) plus(other outcome) outcome {
	return outcome{admitted: o.admitted + other.admitted, refused: o.refused + other.refused}
}

// refusedShare is the share of the requests that were refused.
func (o outcome) refusedShare() float64 {
	return float64(o.refused) / float64(max(o.admitted+o.refused, 1))
}

// pair is a daemon and another one in its view.
type pair struct{ self, other string }

// partition cuts a part of the daemons off from the others for a time.
type partition struct {
	from, until time.Time
	within      map[string]bool
	// detected and regained are the times until daemons detect that others are gone or back.
	detected, regained map[pair]time.Duration
	// reconnected is the time until their connections recover.
	reconnected map[pair]time.Duration
	// before is the previous partition, which may not be fully detected as ended.
	before *partition
}

func (p *partition) isWithin(name string) bool { return p != nil && p.within[name] }

// divides reports whether the partition separates two daemons.
func (p *partition) divides(self, other string) bool {
	return p != nil && p.within[self] != p.within[other]
}

// isCut reports whether two daemons cannot communicate.
func (p *partition) isCut(self, other string, now time.Time) bool {
	return p.divides(self, other) && !now.Before(p.from) && now.Before(p.until.Add(p.reconnected[pair{self, other}]))
}

// isSeen reports whether a daemon counts another as live.
func (p *partition) isSeen(self, other string, now time.Time) bool {
	between := pair{self, other}
	isMissing := !now.Before(p.from.Add(p.detected[between]))
	isBack := !now.Before(p.until.Add(p.regained[between]))
	return (isBack || !isMissing) && (p.before == nil || p.before.isSeen(self, other, now))
}

// startPartition cuts daemons off for a time, from now on.
func (m *fleetModel) startPartition(names []string, length time.Duration, times detection, random *rand.Rand) {
	cut := &partition{
		from: time.Now(), until: time.Now().Add(length), within: map[string]bool{},
		detected: m.pairTimes(times, random), regained: m.pairTimes(times, random), reconnected: m.pairTimes(detection{pair: maxReconnect}, random),
	}
	for _, name := range names {
		cut.within[name] = true
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	cut.before = m.partition
	m.partition = cut
}

func (m *fleetModel) pairTimes(times detection, random *rand.Rand) map[pair]time.Duration {
	delays := map[pair]time.Duration{}
	for _, self := range m.names {
		own := times.first + time.Duration(random.Float64()*float64(times.own))
		for _, other := range m.names {
			delays[pair{self, other}] = own + time.Duration(random.Float64()*float64(times.pair))
		}
	}
	return delays
}

// randomPart returns that many daemons drawn at random.
func (m *fleetModel) randomPart(count int, random *rand.Rand) []string {
	names := append([]string(nil), m.names...)
	random.Shuffle(len(names), func(a, b int) { names[a], names[b] = names[b], names[a] })
	return names[:count]
}

// partitionCase is one combination of a partition and a tenant's jump in rate.
type partitionCase struct {
	perSecond float64
	// part is the cut-off part of the fleet, jump the tenant's rate as a multiple of its limit.
	part, jump float64
	// jumpAfter is the time of the jump after the start of the partition; negative means
	// before.
	jumpAfter time.Duration
	// second is the time between the end of the partition and a second one, or 0 for none.
	second time.Duration
	// detection is a key of detections.
	detection string
	seed      uint64
}

func (c partitionCase) String() string {
	return fmt.Sprintf("%g a second, %.2f cut off, %g times the limit, jump %v, second partition %v, detected %s, seed %d",
		c.perSecond, c.part, c.jump, c.jumpAfter, c.second, c.detection, c.seed)
}

func partitionCases() []partitionCase {
	cases := []partitionCase{}
	for _, perSecond := range []float64{3, 40, 400} {
		for _, part := range []float64{0.25, 1.0 / 3, 0.5} {
			for order, jumpAfter := range []time.Duration{-500 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond, 4200 * time.Millisecond} {
				jump := 6 + 2*float64(order)
				second := time.Duration(order%2) * 1500 * time.Millisecond
				for _, detection := range []string{"at once", "one after the other"} {
					cases = append(cases, partitionCase{perSecond, part, jump, jumpAfter, second, detection, uint64(len(cases))})
				}
			}
		}
	}
	return cases
}

// play runs a case and returns the fleet.
func (c partitionCase) play() *fleetModel {
	const settled, cutTime, overloadTime = 4 * time.Second, 4 * time.Second, 10 * time.Second
	random := rand.New(rand.NewPCG(c.seed, 5))
	model, limit := newModel(60), limitOf(c.perSecond)
	cutOff := model.randomPart(int(c.part*60), random)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(settled - min(c.jumpAfter, 0))
		model.startPartition(cutOff, cutTime, detections[c.detection], random)
		if c.second > 0 {
			time.Sleep(cutTime + c.second)
			model.startPartition(cutOff, cutTime/2, detections[c.detection], random)
		}
	}()
	traffic := rand.New(rand.NewPCG(c.seed, 6))
	model.traffic(traffic, limit, c.perSecond/3, settled+max(c.jumpAfter, 0))
	model.traffic(traffic, limit, c.jump*c.perSecond, overloadTime)
	<-done
	return model
}

// bySource lists the grants per half second by source and side.
func (m *fleetModel) bySource() string {
	rows := strings.Builder{}
	start := m.grants[0].at
	for from := start; !from.After(m.grants[len(m.grants)-1].at); from = from.Add(500 * time.Millisecond) {
		counts := map[string]int{}
		for _, each := range m.grants {
			if !each.at.Before(from) && each.at.Before(from.Add(500*time.Millisecond)) {
				counts[fmt.Sprintf("%s cut off %t", each.source, each.isCutOff)]++
			}
		}
		fmt.Fprintf(&rows, "%5.1f s: %v\n", from.Sub(start).Seconds(), counts)
	}
	return rows.String()
}

// TestNoWindowExceedsLimitAroundPartition fails if a tenant exceeds its limit with a jump in
// rate before, during or after a partition that daemons detect at different times.
func TestNoWindowExceedsLimitAroundPartition(t *testing.T) {
	for _, each := range partitionCases() {
		t.Run(each.String(), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				model := each.play()
				most := model.maxInWindow(tolerance.Window)
				if float64(most) > bound(limitOf(each.perSecond)) {
					t.Logf("grants by half seconds:\n%s", model.bySource())
				}
				require.LessOrEqual(t, float64(most), bound(limitOf(each.perSecond)))
				t.Logf("%d in a window, %.0f allowed", most, bound(limitOf(each.perSecond)))
			})
		})
	}
}

// TestCallersInPartitionedZoneAreServed fails if a tenant within its limit is refused too often
// during a partition and the six seconds after it.
func TestCallersInPartitionedZoneAreServed(t *testing.T) {
	for _, each := range []struct{ load, mostWithin, mostElsewhere float64 }{{1.0 / 3, 0.15, 0.02}, {0.6, 0.2, 0.04}} {
		within, elsewhere := outcome{}, outcome{}
		for seed := range uint64(16) {
			synctest.Test(t, func(*testing.T) {
				model := playOrdinary(each.load, seed)
				within, elsewhere = within.plus(model.outcomes[true]), elsewhere.plus(model.outcomes[false])
			})
		}
		t.Logf("at %.2f of the limit: refused within %v, elsewhere %v", each.load, within, elsewhere)
		require.LessOrEqual(t, within.refusedShare(), each.mostWithin, "at %.2f of the limit", each.load)
		require.LessOrEqual(t, elsewhere.refusedShare(), each.mostElsewhere, "at %.2f of the limit", each.load)
	}
}

// playOrdinary cuts a quarter of the fleet off for 4 s. Requests are counted from the start of
// the partition.
func playOrdinary(load float64, seed uint64) *fleetModel {
	random := rand.New(rand.NewPCG(seed, 7))
	model, limit := newModel(60), limitOf([]float64{3, 40}[seed%2])
	model.traffic(random, limit, load*limit.PerSecond, 4*time.Second)
	seen := detections[[]string{"at once", "one after the other"}[seed/2%2]]
	model.startPartition(model.randomPart(15, random), 4*time.Second, seen, random)
	model.outcomes = map[bool]outcome{}
	model.traffic(random, limit, load*limit.PerSecond, 10*time.Second)
	return model
}
