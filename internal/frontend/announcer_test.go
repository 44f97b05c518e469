package frontend

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

// announcingNode is a member of a cluster with an announcer of table t.
type announcingNode struct {
	node      *cluster.Node
	announcer *announcer
	heard     atomic.Int64
}

func startAnnouncing(t *testing.T, name string, seeds ...string) *announcingNode {
	t.Helper()
	address := freeAddress(t)
	transport := peer.NewTransport(name, address, make([]byte, 32), quiet)
	self := membership.Member{Name: name, Address: address, Zone: "zone", Incarnation: time.Now().UnixMilli()}
	made := &announcingNode{node: cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, quiet)}
	made.announcer = newAnnouncer("t", discard{}, made.node)
	made.announcer.announce = func(version table.Version) { made.heard.Store(int64(version)) }
	made.node.SetSeeds(seeds)
	require.NoError(t, transport.Start())
	ctx, cancel := context.WithCancel(context.Background())
	go made.node.Run(ctx)
	t.Cleanup(func() {
		cancel()
		transport.Stop()
	})
	return made
}

// TestChangeIsAnnouncedToOtherDaemons guards against daemons that don't know that they are behind
// because their own sources fail.
func TestChangeIsAnnouncedToOtherDaemons(t *testing.T) {
	first := startAnnouncing(t, "a")
	nodes := []*announcingNode{first}
	for _, name := range []string{"b", "c", "d"} {
		nodes = append(nodes, startAnnouncing(t, name, first.node.Self().Address))
	}
	for _, each := range nodes {
		require.Eventually(t, func() bool { return len(each.node.Members()) == len(nodes) }, testTimeout, pollTime)
	}
	first.announcer.Change([]table.Row{{Key: "x", Version: 7}, {Key: "y", Version: 6}}, 9)
	for _, each := range nodes[1:] {
		require.Eventually(t, func() bool { return each.heard.Load() == 7 }, testTimeout, pollTime)
		require.False(t, each.announcer.newest.Raise(7), "a version is passed on once")
	}
}
