// Package clustertest starts members of a fleet on the loopback for tests.
package clustertest

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/platform/platformtest"
)

// ProbeInterval is the members' time between two probes.
const ProbeInterval = 100 * time.Millisecond

// Member is a running member of a fleet.
type Member struct {
	Node      *cluster.Node
	Transport *peer.Transport
	// Stop ends the member without a word to the others. It may be called twice.
	Stop func()
}

// Start starts a member, which stops at the end of the test at the latest.
func Start(t *testing.T, name string, key []byte, seeds ...string) Member {
	t.Helper()
	address, err := platformtest.FreeAddress("127.0.0.1")
	require.NoError(t, err)
	log := slog.New(slog.DiscardHandler)
	transport := peer.NewTransport(name, address, key, log)
	self := membership.Member{Name: name, Address: address, Zone: "zone", Incarnation: time.Now().UnixMilli()}
	node := cluster.NewNode(membership.DefaultConfig(ProbeInterval), self, transport, log)
	node.SetSeeds(seeds)
	require.NoError(t, transport.Start())
	running, cancel := context.WithCancel(context.Background())
	go node.Run(running)
	stop := func() {
		cancel()
		transport.Stop()
	}
	t.Cleanup(stop)
	return Member{Node: node, Transport: transport, Stop: stop}
}
