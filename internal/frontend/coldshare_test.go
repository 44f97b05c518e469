package frontend

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/cluster/clustertest"
	"topazpulley/internal/warmup"
)

const (
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// coldRequests returns how many requests a daemon may send to a cold backend in a minute.
func coldRequests(share backend.ColdShare) int {
	sum := 0
	for window := range warmup.WindowAt(time.Unix(60, 0)) {
		sum += share(backend.Incarnation{}, 14, window)
	}
	return sum
}

// TestDaemonThatLostAllOthersKeepsItsColdShare guards against a cold backend that gets its whole
// rate from each daemon that is cut off from the others.
func TestDaemonThatLostAllOthersKeepsItsColdShare(t *testing.T) {
	const others = 3
	key := make([]byte, 32)
	node := clustertest.Start(t, "a", key).Node
	lost := []clustertest.Member{}
	for index := range others {
		lost = append(lost, clustertest.Start(t, fmt.Sprintf("other-%d", index), key, node.Self().Address))
	}
	require.Eventually(t, func() bool { return node.Count() == others+1 }, waitTimeout, pollInterval)
	share := newColdShare(node, time.Now())
	before := coldRequests(share)
	for _, each := range lost {
		each.Stop()
	}
	require.Eventually(t, func() bool { return node.Count() == 1 }, waitTimeout, pollInterval)
	require.Equal(t, before, coldRequests(share))
}
