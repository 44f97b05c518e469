package cluster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/cluster"
	"topazpulley/internal/cluster/clustertest"
	"topazpulley/internal/membership"
)

const (
	waitLimit    = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

func startNode(t *testing.T, name string, key []byte, seeds ...string) *cluster.Node {
	t.Helper()
	return clustertest.Start(t, name, key, seeds...).Node
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
