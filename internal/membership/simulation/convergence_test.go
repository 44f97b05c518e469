package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
)

func converge(t *testing.T, topology Topology, seed uint64) *Network {
	network := NewNetwork(topology, membership.DefaultConfig(time.Second), seed)
	_, ok := network.RunUntil(2*time.Minute, time.Second, func() bool { return network.everyoneKnows(topology.Daemons) })
	require.True(t, ok)
	return network
}

var small = Topology{Daemons: 24, Engines: 36, Zones: 3, Regions: 2}

// TestFleetThatStartsAtOnceKnowsItselfSoon, in virtual time: after a restart of
// all daemons loads are shared again within a few probe intervals.
func TestFleetThatStartsAtOnceKnowsItselfSoon(t *testing.T) {
	fleet := Topology{Daemons: 90, Engines: 90, Zones: 3, Regions: 1}
	network := NewNetwork(fleet, membership.DefaultConfig(500*time.Millisecond), 11)
	took, ok := network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.everyoneKnows(fleet.Daemons) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 4*time.Second)
}

// TestLargeFleetThatStartsAtOnce, with the same three seeds for all: what its daemons learn
// in bulk they do not pass on by gossip, which is free for news then.
func TestLargeFleetThatStartsAtOnce(t *testing.T) {
	fleet := Topology{Daemons: 300, Zones: 5, Regions: 1}
	network := NewNetwork(fleet, membership.DefaultConfig(500*time.Millisecond), 11)
	for _, daemon := range network.daemons {
		daemon.core.SetSeeds([]string{address(0), address(1), address(2)})
	}
	took, ok := network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.everyoneKnows(fleet.Daemons) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 4*time.Second)
	require.LessOrEqual(t, network.exchanged, 4*fleet.Daemons*fleet.Daemons, "each member is carried to each daemon some times at most")

	const span = 5 * time.Second
	network.Run(span) // what was heard by gossip is passed on
	before := network.bytesSent()
	network.Run(span)
	perSecond := float64(network.bytesSent()-before) / span.Seconds() / float64(fleet.Daemons)
	require.Less(t, perSecond, 1000.0, "probes are left, with next to no gossip")

	network.add(fleet.Daemons)
	network.daemons[fleet.Daemons].core.SetSeeds([]string{address(0)})
	took, ok = network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.everyoneKnows(fleet.Daemons + 1) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 8*time.Second)
}

func TestGroupsThatNeverMetFindTogether(t *testing.T) {
	network := NewNetwork(small, membership.DefaultConfig(time.Second), 7)
	network.cut = func(from, to *simulated) bool { return from.index%2 != to.index%2 }
	network.Run(20 * time.Second)
	require.False(t, network.everyoneKnows(small.Daemons))
	network.cut = func(*simulated, *simulated) bool { return false }
	_, ok := network.RunUntil(2*time.Minute, time.Second, func() bool { return network.everyoneKnows(small.Daemons) })
	require.True(t, ok)
}

func TestFailureIsKnownEverywhereAndRestartForgiven(t *testing.T) {
	network := converge(t, small, 1)
	network.daemons[5].up = false
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return network.nobodyBelieves(5) })
	require.True(t, ok)
	network.boot(network.daemons[5])
	_, ok = network.RunUntil(time.Minute, time.Second, func() bool { return network.everyoneKnows(small.Daemons) })
	require.True(t, ok)
}

func TestLossAloneKillsNobody(t *testing.T) {
	network := converge(t, small, 2)
	network.loss = 0.05
	network.Run(5 * time.Minute)
	require.Zero(t, network.deaths())
	require.Positive(t, network.suspicions())
}

// TestSuspectsRefuteUnderHeavyLoss: with three datagrams in ten lost, suspects
// still hear of their suspicion in time.
func TestSuspectsRefuteUnderHeavyLoss(t *testing.T) {
	network := converge(t, small, 2)
	network.loss = 0.3
	network.Run(5 * time.Minute)
	require.Positive(t, network.suspicions())
	require.Less(t, 10*network.deaths(), network.suspicions())
}

func TestPausedMemberBlamesNobody(t *testing.T) {
	network := converge(t, small, 3)
	network.daemons[3].pausedUntil = network.now.Add(30 * time.Second)
	network.Run(2 * time.Minute)
	require.Zero(t, network.daemons[3].core.Statistics().Deaths)
	require.True(t, network.everyoneKnows(small.Daemons))
}

func TestEveryEngineHasOneSupervisorAgainAfterALostZone(t *testing.T) {
	network := converge(t, small, 4)
	network.Run(5 * time.Second)
	for _, daemon := range network.daemons {
		if daemon.zone == 1 && daemon.index != 1 {
			daemon.up = false
		}
	}
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return len(network.daemons[1].supervised) == len(network.enginesOf(1)) })
	require.True(t, ok)
}

func TestRevisionReachesAZoneThatWasCut(t *testing.T) {
	network := converge(t, small, 5)
	network.cut = func(from, to *simulated) bool { return (from.zone == 0) != (to.zone == 0) }
	network.applyRevision(network.daemons[1], 9)
	network.Run(20 * time.Second)
	require.Zero(t, network.daemons[0].revision)
	network.cut = func(*simulated, *simulated) bool { return false }
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return network.everyoneServes(9) })
	require.True(t, ok)
}
