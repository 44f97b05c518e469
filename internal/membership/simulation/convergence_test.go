package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
)

// newConvergedNetwork starts a network and runs it until each daemon has all members.
func newConvergedNetwork(t *testing.T, topology Topology, seed uint64) *Network {
	network := NewNetwork(topology, membership.DefaultConfig(time.Second), seed)
	_, ok := network.RunUntil(2*time.Minute, time.Second, func() bool { return network.allHaveMembers(topology.Daemons) })
	require.True(t, ok)
	return network
}

var smallFleet = Topology{Daemons: 24, Engines: 36, Zones: 3, Regions: 2}

// TestSimultaneousStartConverges checks that a fleet whose daemons all start
// at once converges within 8 probe intervals.
func TestSimultaneousStartConverges(t *testing.T) {
	fleet := Topology{Daemons: 90, Engines: 90, Zones: 3, Regions: 1}
	network := NewNetwork(fleet, membership.DefaultConfig(500*time.Millisecond), 11)
	took, ok := network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.allHaveMembers(fleet.Daemons) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 4*time.Second)
}

// TestLargeSimultaneousStartConverges checks that a large fleet in which all daemons have the
// same three seeds converges, and that gossip is not filled with members that were
// received in exchanges, so that a new member soon reaches all daemons.
func TestLargeSimultaneousStartConverges(t *testing.T) {
	fleet := Topology{Daemons: 300, Zones: 5, Regions: 1}
	network := NewNetwork(fleet, membership.DefaultConfig(500*time.Millisecond), 11)
	for _, daemon := range network.daemons {
		daemon.core.SetSeeds([]string{address(0), address(1), address(2)})
	}
	took, ok := network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.allHaveMembers(fleet.Daemons) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 4*time.Second)
	require.LessOrEqual(t, network.exchanged, 4*fleet.Daemons*fleet.Daemons, "each member is sent to each daemon 4 times at most on average")

	const span = 5 * time.Second
	network.Run(span) // queued gossip drains
	before := network.bytesSent()
	network.Run(span)
	perSecond := float64(network.bytesSent()-before) / span.Seconds() / float64(fleet.Daemons)
	require.Less(t, perSecond, 1000.0, "bytes per second: probes with little gossip")

	network.add(fleet.Daemons)
	network.daemons[fleet.Daemons].core.SetSeeds([]string{address(0)})
	took, ok = network.RunUntil(time.Minute, 100*time.Millisecond, func() bool { return network.allHaveMembers(fleet.Daemons + 1) })
	require.True(t, ok)
	require.LessOrEqual(t, took, 8*time.Second)
}

func TestSeparateGroupsMerge(t *testing.T) {
	network := NewNetwork(smallFleet, membership.DefaultConfig(time.Second), 7)
	network.isPartitioned = func(from, to *simulatedDaemon) bool { return from.index%2 != to.index%2 }
	network.Run(20 * time.Second)
	require.False(t, network.allHaveMembers(smallFleet.Daemons))
	network.isPartitioned = func(*simulatedDaemon, *simulatedDaemon) bool { return false }
	_, ok := network.RunUntil(2*time.Minute, time.Second, func() bool { return network.allHaveMembers(smallFleet.Daemons) })
	require.True(t, ok)
}

func TestFailureAndRestartReachAllDaemons(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 1)
	network.daemons[5].isUp = false
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return network.noneHasLive(5) })
	require.True(t, ok)
	network.start(network.daemons[5])
	_, ok = network.RunUntil(time.Minute, time.Second, func() bool { return network.allHaveMembers(smallFleet.Daemons) })
	require.True(t, ok)
}

func TestPacketLossCausesNoDeaths(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 2)
	network.loss = 0.05
	network.Run(5 * time.Minute)
	require.Zero(t, network.deaths())
	require.Positive(t, network.suspicions())
}

// TestSuspectsRefuteUnderHeavyLoss checks that with 30% packet loss nine suspects in ten
// receive the suspicion and refute it in time.
func TestSuspectsRefuteUnderHeavyLoss(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 2)
	network.loss = 0.3
	network.Run(5 * time.Minute)
	require.Positive(t, network.suspicions())
	require.Less(t, 10*network.deaths(), network.suspicions())
}

func TestPausedMemberDeclaresNoDeaths(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 3)
	network.daemons[3].pausedUntil = network.now.Add(30 * time.Second)
	network.Run(2 * time.Minute)
	require.Zero(t, network.daemons[3].core.Statistics().Deaths)
	require.True(t, network.allHaveMembers(smallFleet.Daemons))
}

// TestSurvivingDaemonSupervisesAllEnginesOfZone checks that the last daemon of a
// zone supervises all engines of the zone.
func TestSurvivingDaemonSupervisesAllEnginesOfZone(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 4)
	network.Run(5 * time.Second)
	for _, daemon := range network.daemons {
		if daemon.zone == 1 && daemon.index != 1 {
			daemon.isUp = false
		}
	}
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return len(network.daemons[1].supervised) == len(network.enginesOf(1)) })
	require.True(t, ok)
}

func TestRevisionReachesZoneAfterPartition(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 5)
	network.isPartitioned = func(from, to *simulatedDaemon) bool { return (from.zone == 0) != (to.zone == 0) }
	network.applyRevision(network.daemons[1], 9)
	network.Run(20 * time.Second)
	require.Zero(t, network.daemons[0].revision)
	network.isPartitioned = func(*simulatedDaemon, *simulatedDaemon) bool { return false }
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool { return network.allHaveRevision(9) })
	require.True(t, ok)
}
