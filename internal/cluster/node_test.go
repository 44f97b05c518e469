package cluster_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

const (
	waitLimit    = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// freeAddress returns a loopback address that is free for TCP.
func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func startNode(t *testing.T, name string, key []byte, seeds ...string) *cluster.Node {
	address := freeAddress(t)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	transport := peer.NewTransport(name, address, key, log)
	self := membership.Member{Name: name, Address: address, Zone: "zone", Incarnation: time.Now().UnixMilli()}
	node := cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, log)
	node.SetSeeds(seeds)
	require.NoError(t, transport.Start())
	ctx, cancel := context.WithCancel(context.Background())
	go node.Run(ctx)
	t.Cleanup(func() {
		cancel()
		transport.Stop()
	})
	return node
}

func TestNodesJoinAndDistributeItems(t *testing.T) {
	key := make([]byte, 32)
	first := startNode(t, "a", key)
	second := startNode(t, "b", key, first.Self().Address)
	third := startNode(t, "c", key, first.Self().Address)
	for _, node := range []*cluster.Node{first, second, third} {
		require.Eventually(t, func() bool { return len(node.Members()) == 3 }, waitLimit, pollInterval)
	}
	second.Publish(membership.Item{Key: "k", Payload: []byte("v"), Priority: membership.PriorityState})
	require.Eventually(t, func() bool {
		return len(third.Items(func(key string) bool { return key == "k" })) == 1
	}, waitLimit, pollInterval)
	second.Leave()
	require.Eventually(t, func() bool { return len(third.Members()) == 2 }, waitLimit, pollInterval)
}

func TestNodeWithOtherKeyIsRefused(t *testing.T) {
	first := startNode(t, "a", make([]byte, 32))
	otherKey := append(make([]byte, 31), 1)
	other := startNode(t, "b", otherKey, first.Self().Address)
	peerNode := startNode(t, "c", make([]byte, 32), first.Self().Address)
	require.Eventually(t, func() bool { return len(peerNode.Members()) == 2 }, waitLimit, pollInterval)
	require.Len(t, other.Members(), 1)
	require.Len(t, first.Members(), 2)
}
