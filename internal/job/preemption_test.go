package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/routing"
)

// checks is how often owners check an overloaded backend within a window.
const checks = 10

// backendOwner is an owner of items at a backend.
type backendOwner struct {
	preemptor *preemptor
	own       int
}

func backendOwners(count int) []*backendOwner {
	owners := []*backendOwner{}
	for index := range uint64(count) {
		owners = append(owners, &backendOwner{preemptor: newPreemptor(rand.New(rand.NewPCG(7, index))), own: 1})
	}
	return owners
}

// check preempts items and returns how many.
func (o *backendOwner) check(slots, online, others int, now time.Time) int {
	taken := o.preemptor.share(routing.Candidate{ID: "b", Slots: slots, Online: online, Batch: others + o.own, OwnBatch: o.own}, now, window)
	o.own -= taken
	return taken
}

// TestOwnersAnswerExcessOnce: all owners together preempt the excess once, on average,
// however often they check within the window.
func TestOwnersAnswerExcessOnce(t *testing.T) {
	const slots, online, rounds = 7, 2, 400
	taken := 0
	start := time.Now()
	for round := range rounds {
		owners := backendOwners(slots)
		for check := range checks {
			for index, owner := range owners {
				owner.preemptor.random = rand.New(rand.NewPCG(uint64(round), uint64(check*slots+index)))
				taken += owner.check(slots, online, slots-1, start.Add(time.Duration(check)*overloadPause))
			}
		}
	}
	require.InDelta(t, float64(online), float64(taken)/rounds, 0.4)
}

// TestAddedExcessIsAnsweredAtOnce: excess that is added to a handled one is handled
// without waiting for the window.
func TestAddedExcessIsAnsweredAtOnce(t *testing.T) {
	now := time.Now()
	owner := &backendOwner{preemptor: newPreemptor(rand.New(rand.NewPCG(8, 8))), own: 4}
	require.Equal(t, 1, owner.check(4, 1, 0, now))
	require.Equal(t, 1, owner.check(4, 2, 0, now.Add(overloadPause)))
	require.Zero(t, owner.check(4, 2, 0, now.Add(2*overloadPause)))
}

// TestPersistentExcessIsAnsweredAgain: excess that persists after the window is handled
// again.
func TestPersistentExcessIsAnsweredAgain(t *testing.T) {
	now := time.Now()
	owner := &backendOwner{preemptor: newPreemptor(rand.New(rand.NewPCG(9, 9))), own: 1}
	taken := 0
	for check := range 400 {
		taken += owner.check(7, 1, 6, now.Add(time.Duration(check)*window))
	}
	require.Equal(t, 1, taken, "the other owners preempted nothing, so this one must")
}

// TestExcessMustPersistWithFreeSlots: with free slots elsewhere, excess must persist before
// an item is preempted; without, it need not.
func TestExcessMustPersistWithFreeSlots(t *testing.T) {
	now, overloaded := time.Now(), routing.Candidate{ID: "b", Slots: 4, Online: 2, Batch: 3}
	checking := newPreemptor(rand.New(rand.NewPCG(13, 13)))
	require.True(t, checking.isExcessDue(overloaded, false, now))
	require.Equal(t, preemptInterval, checking.nextCheck())
	require.False(t, checking.isExcessDue(overloaded, true, now))
	require.Equal(t, excessDelay, checking.nextCheck())
	require.False(t, checking.isExcessDue(overloaded, true, now.Add(excessDelay/2)))
	require.True(t, checking.isExcessDue(overloaded, true, now.Add(excessDelay)))
	overloaded.Online = 1
	require.True(t, checking.isExcessDue(overloaded, true, now.Add(excessDelay)), "the excess is gone")
	overloaded.Online = 2
	require.False(t, checking.isExcessDue(overloaded, true, now.Add(2*excessDelay)), "a new excess has not persisted")
}
