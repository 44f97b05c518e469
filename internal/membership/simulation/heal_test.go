package simulation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
)

func TestPartitionedRegionRejoins(t *testing.T) {
	topology := Topology{Daemons: 56, Engines: 88, Zones: 7, Regions: 3}
	network := newConvergedNetwork(t, topology, 1)
	network.isPartitioned = func(from, to *simulatedDaemon) bool { return (from.region == 0) != (to.region == 0) }
	network.Run(90 * time.Second)
	network.isPartitioned = func(*simulatedDaemon, *simulatedDaemon) bool { return false }
	_, ok := network.RunUntil(2*time.Minute, time.Second, func() bool { return network.allHaveMembers(topology.Daemons) })
	require.True(t, ok)
}

// TestRestartedMemberGetsZoneItems checks that a member that joins through a seed of
// another zone gets the durable items of its own zone.
func TestRestartedMemberGetsZoneItems(t *testing.T) {
	network := newConvergedNetwork(t, smallFleet, 6)
	item := membership.Item{Key: "machine/e", Zone: zoneName(0), Priority: membership.PriorityState, Payload: []byte("record")}
	network.daemons[0].core.Publish(item, network.now)
	network.Run(20 * time.Second)
	restarted := network.daemons[3]
	network.start(restarted)
	restarted.core.SetSeeds([]string{address(1)})
	_, ok := network.RunUntil(time.Minute, time.Second, func() bool {
		_, known := restarted.core.Item("machine/e")
		return known
	})
	require.True(t, ok)
}
