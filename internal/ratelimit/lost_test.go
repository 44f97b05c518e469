package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/cluster/clustertest"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// startMember starts a member of a fleet, which stops with the returned function. It returns its
// view of the fleet as after settlingTime.
func startMember(t *testing.T, name string, seeds ...string) (fleet *ClusterFleet, stop func()) {
	t.Helper()
	member := clustertest.Start(t, name, make([]byte, 32), seeds...)
	fleet = NewClusterFleet(member.Node, member.Transport, discardLog)
	fleet.startedAt = time.Now().Add(-settlingTime)
	return fleet, member.Stop
}

// TestDaemonStartedBehindPartitionCountsLostDaemons guards against a daemon that takes the side of
// a partition on which it started for the fleet.
func TestDaemonStartedBehindPartitionCountsLostDaemons(t *testing.T) {
	first, _ := startMember(t, "first")
	lost, cut := startMember(t, "lost", first.node.Self().Address)
	require.Eventually(t, func() bool { return len(first.View().Daemons) == 2 }, waitTimeout, pollInterval)
	cut()
	require.Eventually(t, func() bool { return first.node.Count() == 1 }, waitTimeout, pollInterval)
	started, _ := startMember(t, "started", first.node.Self().Address)
	require.Eventually(t, func() bool { return len(started.View().Daemons) == 2 }, waitTimeout, pollInterval)
	require.Eventually(t, func() bool { return len(started.View().Missing) == 1 }, waitTimeout, pollInterval)
	require.Equal(t, lost.Self(), started.View().Missing[0].Name)
}

// TestForgottenDaemonsStayForgotten guards against daemons that are missing anew each time, since
// the membership still lists them as lost.
func TestForgottenDaemonsStayForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	live, lost := []Daemon{{Name: "a", Address: "a"}}, []Daemon{{Name: "b", Address: "b"}}
	hasLeft := func(string) bool { return false }
	recent := recentDaemons{}
	recent.addLost(lost, now)
	require.Equal(t, lost, recent.missing(live, hasLeft, now.Add(maxMissing-time.Millisecond)))
	for _, after := range []time.Duration{maxMissing, 2 * maxMissing} {
		recent.addLost(lost, now.Add(after))
		require.Empty(t, recent.missing(live, hasLeft, now.Add(after)))
		require.Empty(t, recent.nextProbes(1, now.Add(after)))
	}
}
