package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/routing"
)

// looks is how often owners look at a crowded backend before they hear of each
// other: as often as online requests come.
const looks = 10

// ownerAt is one owner of items at a backend whose others it sees as they were.
type ownerAt struct {
	yielder *preemptor
	own     int
}

func ownersAt(count int) []*ownerAt {
	owners := []*ownerAt{}
	for index := range uint64(count) {
		owners = append(owners, &ownerAt{yielder: newPreemptor(rand.New(rand.NewPCG(7, index))), own: 1})
	}
	return owners
}

// look lets the owner take items back and returns how many.
func (o *ownerAt) look(slots, online, others int, now time.Time) int {
	taken := o.yielder.share(routing.Candidate{ID: "b", Slots: slots, Online: online, Batch: others + o.own, OwnBatch: o.own}, now, window)
	o.own -= taken
	return taken
}

// TestOwnersGiveWayOnceForOneExcess: however often they look before they hear
// of each other, all owners together take back what is too much, on average.
func TestOwnersGiveWayOnceForOneExcess(t *testing.T) {
	const slots, online, rounds = 7, 2, 400
	taken := 0
	start := time.Now()
	for round := range rounds {
		owners := ownersAt(slots)
		for look := range looks {
			for index, owner := range owners {
				owner.yielder.random = rand.New(rand.NewPCG(uint64(round), uint64(look*slots+index)))
				taken += owner.look(slots, online, slots-1, start.Add(time.Duration(look)*overloadPause))
			}
		}
	}
	require.InDelta(t, float64(online), float64(taken)/rounds, 0.4)
}

// TestOwnersAnswerFurtherRequestsAtOnce: what comes on top of an excess that
// was answered is answered without waiting for the window.
func TestOwnersAnswerFurtherRequestsAtOnce(t *testing.T) {
	now := time.Now()
	owner := &ownerAt{yielder: newPreemptor(rand.New(rand.NewPCG(8, 8))), own: 4}
	require.Equal(t, 1, owner.look(4, 1, 0, now))
	require.Equal(t, 1, owner.look(4, 2, 0, now.Add(overloadPause)))
	require.Zero(t, owner.look(4, 2, 0, now.Add(2*overloadPause)))
}

// TestExcessThatStandsIsAnsweredAgain once all owners have heard of each other.
func TestExcessThatStandsIsAnsweredAgain(t *testing.T) {
	now := time.Now()
	owner := &ownerAt{yielder: newPreemptor(rand.New(rand.NewPCG(9, 9))), own: 1}
	taken := 0
	for look := range 400 {
		taken += owner.look(7, 1, 6, now.Add(time.Duration(look)*window))
	}
	require.Equal(t, 1, taken, "the others took nothing back, so the owner did in the end")
}

// TestExcessMustStandWhereThereIsRoom: a request that only asks for a place there takes no
// item away, one that stays does; where there is no room none waits.
func TestExcessMustStandWhereThereIsRoom(t *testing.T) {
	now, crowded := time.Now(), routing.Candidate{ID: "b", Slots: 4, Online: 2, Batch: 3}
	looking := newPreemptor(rand.New(rand.NewPCG(13, 13)))
	require.True(t, looking.isExcessDue(crowded, false, now))
	require.Equal(t, preemptInterval, looking.nextCheck())
	require.False(t, looking.isExcessDue(crowded, true, now))
	require.Equal(t, excessDelay, looking.nextCheck())
	require.False(t, looking.isExcessDue(crowded, true, now.Add(excessDelay/2)))
	require.True(t, looking.isExcessDue(crowded, true, now.Add(excessDelay)))
	crowded.Online = 1
	require.True(t, looking.isExcessDue(crowded, true, now.Add(excessDelay)), "it is not crowded any more")
	crowded.Online = 2
	require.False(t, looking.isExcessDue(crowded, true, now.Add(2*excessDelay)), "another one asks")
}
