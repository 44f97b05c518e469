package exchange_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/cluster"
	"topazpulley/internal/exchange"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/routing"
)

const (
	waitTime = 20 * time.Second
	pollTime = 10 * time.Millisecond
)

// daemon is a running node with its backends.
type daemon struct {
	address  string
	node     *cluster.Node
	backends *backend.Set
	cancel   context.CancelFunc
}

func start(t *testing.T, name string, seeds ...string) *daemon {
	t.Helper()
	return startIn(t, "z", 100, name, seeds...)
}

// startIn starts a daemon in a zone. Fleets larger than directLimit use relays.
func startIn(t *testing.T, zone string, directLimit int, name string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := &daemon{address: listener.Addr().String(), backends: backend.NewSet()}
	require.NoError(t, listener.Close())
	started.backends.Put(backend.Instance{ID: "one", Service: "s", Slots: 8})
	log := slog.New(slog.DiscardHandler)
	transport := peer.NewTransport(name, started.address, []byte(strings.Repeat("k", 32)), log)
	self := membership.Member{Name: name, Address: started.address, Zone: zone, Incarnation: 1}
	started.node = cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, log)
	loadExchange := exchange.New(started.node, started.backends, log)
	loadExchange.SetDirectLimit(directLimit)
	require.NoError(t, transport.Start())
	t.Cleanup(transport.Stop)
	started.node.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	started.cancel = cancel
	t.Cleanup(cancel)
	go started.node.Run(ctx)
	go loadExchange.Run(ctx)
	return started
}

func (d *daemon) candidate() routing.Candidate {
	return d.backends.Candidates("s", []routing.PromptPart{{ID: "manual", Tokens: 5000}, {ID: "own", Tokens: 10}}, time.Now())[0]
}

// TestDaemonsExchangeLoads: requests in flight, large prompts and failures of backends
// reach the other daemon; the loads of a stopped daemon expire.
func TestDaemonsExchangeLoads(t *testing.T) {
	first := start(t, "a")
	second := start(t, "b", first.address)
	// Reads and failures are sent once, to the members at that time.
	require.Eventually(t, func() bool { return len(first.node.Members()) == 2 }, waitTime, pollTime)
	prompt := []routing.PromptPart{{ID: "manual", Tokens: 5000}, {ID: "other", Tokens: 10}}
	lease, found := first.backends.Acquire("one", backend.Online, prompt)
	require.True(t, found)
	_, found = first.backends.Acquire("one", backend.Batch, nil)
	require.True(t, found)
	require.Eventually(t, func() bool {
		return second.candidate().Online == 1 && second.candidate().Batch == 1 && second.candidate().PendingTokens == 5010 && second.candidate().UncachedTokens == 10
	}, waitTime, pollTime)
	lease.Release()
	require.Eventually(t, func() bool { return second.candidate().Online == 0 && second.candidate().Batch == 1 }, waitTime, pollTime)
	for range 4 {
		first.backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	}
	require.Eventually(t, func() bool { return second.candidate().Ejected }, waitTime, pollTime)
	first.cancel()
	require.Eventually(t, func() bool { return second.candidate().Batch == 0 }, waitTime, pollTime)
}

// TestRelaysDistributeLoads: with relays, loads, waiting items and failures reach all
// daemons and are counted once; the loads of a stopped daemon expire.
func TestRelaysDistributeLoads(t *testing.T) {
	const size = 8
	daemons := []*daemon{}
	seeds := []string{}
	for index := range size {
		started := startIn(t, fmt.Sprint("z", index%2), 3, fmt.Sprint("d", index), seeds...)
		seeds = []string{firstDaemon(daemons, started).address}
		daemons = append(daemons, started)
	}
	for _, each := range daemons {
		require.Eventually(t, func() bool { return len(each.node.Members()) == size }, waitTime, pollTime)
	}
	for index, each := range daemons {
		for range index {
			_, found := each.backends.Acquire("one", backend.Online, nil)
			require.True(t, found)
		}
		each.backends.SetOwnWaiting(index)
	}
	const total = size * (size - 1) / 2
	for index, each := range daemons {
		require.Eventually(t, func() bool {
			return each.candidate().Online == total && each.backends.PeerWaiting() == total-index
		}, waitTime, pollTime, "daemon %d", index)
	}
	daemons[5].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	daemons[5].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	for range 2 {
		daemons[4].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	}
	for index, each := range daemons {
		require.Eventually(t, func() bool { return each.candidate().Ejected }, waitTime, pollTime, "daemon %d", index)
	}
	daemons[7].cancel()
	for _, each := range daemons[:7] {
		require.Eventually(t, func() bool { return each.candidate().Online == total-7 }, waitTime, pollTime)
	}
}

// firstDaemon returns the first daemon, which the others join.
func firstDaemon(daemons []*daemon, started *daemon) *daemon {
	if len(daemons) == 0 {
		return started
	}
	return daemons[0]
}
