package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/warmup"
	"topazpulley/platform/platformtest"
)

const (
	waitTimeout  = time.Minute
	pollInterval = 20 * time.Millisecond
)

// startMember starts a node of a fleet, which stops with the returned function.
func startMember(t *testing.T, name string, seeds ...string) (node *cluster.Node, stop func()) {
	t.Helper()
	address, err := platformtest.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	transport := peer.NewTransport(name, address, make([]byte, 32), log)
	self := membership.Member{Name: name, Address: address, Zone: "zone", Incarnation: time.Now().UnixMilli()}
	node = cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, log)
	node.SetSeeds(seeds)
	require.NoError(t, transport.Start())
	running, cancel := context.WithCancel(context.Background())
	go node.Run(running)
	stop = func() {
		cancel()
		transport.Stop()
	}
	t.Cleanup(stop)
	return node, stop
}

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
	node, _ := startMember(t, "a")
	stops := []func(){}
	for index := range others {
		_, stop := startMember(t, fmt.Sprintf("other-%d", index), node.Self().Address)
		stops = append(stops, stop)
	}
	require.Eventually(t, func() bool { return node.Count() == others+1 }, waitTimeout, pollInterval)
	share := newColdShare(node, time.Now())
	before := coldRequests(share)
	for _, stop := range stops {
		stop()
	}
	require.Eventually(t, func() bool { return node.Count() == 1 }, waitTimeout, pollInterval)
	require.Equal(t, before, coldRequests(share))
}
