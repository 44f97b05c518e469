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
	patience = 20 * time.Second
	pollTime = 10 * time.Millisecond
)

// daemon is a member with its backends.
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

// startIn starts a daemon in a zone of a fleet that uses relays beyond a size.
func startIn(t *testing.T, zone string, directLimit int, name string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &daemon{address: listener.Addr().String(), backends: backend.NewSet()}
	require.NoError(t, listener.Close())
	made.backends.Put(backend.Instance{ID: "one", Service: "s", Slots: 8})
	quiet := slog.New(slog.DiscardHandler)
	transport := peer.NewTransport(name, made.address, []byte(strings.Repeat("k", 32)), quiet)
	self := membership.Member{Name: name, Address: made.address, Zone: zone, Incarnation: 1}
	made.node = cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, quiet)
	loads := exchange.New(made.node, made.backends, quiet)
	loads.RelayFrom(directLimit)
	require.NoError(t, transport.Start())
	t.Cleanup(transport.Stop)
	made.node.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	made.cancel = cancel
	t.Cleanup(cancel)
	go made.node.Run(ctx)
	go loads.Run(ctx)
	return made
}

func (d *daemon) seen() routing.Candidate {
	return d.backends.Candidates("s", []routing.PromptPart{{ID: "manual", Tokens: 5000}, {ID: "own", Tokens: 10}}, time.Now())[0]
}

// TestDaemonsKnowEachOthersWork: requests in flight, large prompts and failures
// of backends reach the other daemon; the work of a daemon that falls silent
// is forgotten.
func TestDaemonsKnowEachOthersWork(t *testing.T) {
	first := start(t, "a")
	second := start(t, "b", first.address)
	// Reads and failures are told once, to those who are known then.
	require.Eventually(t, func() bool { return len(first.node.Members()) == 2 }, patience, pollTime)
	prompt := []routing.PromptPart{{ID: "manual", Tokens: 5000}, {ID: "other", Tokens: 10}}
	lease, found := first.backends.Acquire("one", backend.Online, prompt)
	require.True(t, found)
	_, found = first.backends.Acquire("one", backend.Batch, nil)
	require.True(t, found)
	require.Eventually(t, func() bool {
		return second.seen().Online == 1 && second.seen().Batch == 1 && second.seen().PendingTokens == 5010 && second.seen().UncachedTokens == 10
	}, patience, pollTime)
	lease.Release()
	require.Eventually(t, func() bool { return second.seen().Online == 0 && second.seen().Batch == 1 }, patience, pollTime)
	for range 4 {
		first.backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	}
	require.Eventually(t, func() bool { return second.seen().Ejected }, patience, pollTime)
	first.cancel()
	require.Eventually(t, func() bool { return second.seen().Batch == 0 }, patience, pollTime)
}

// TestRelaysCarryLoadsThroughTheFleet: in a fleet with relays, a daemon's work,
// waiting items and failures reach every daemon of its own and of another zone,
// and are counted once; work of a daemon that falls silent is forgotten.
func TestRelaysCarryLoadsThroughTheFleet(t *testing.T) {
	const size = 8
	daemons := []*daemon{}
	seeds := []string{}
	for index := range size {
		made := startIn(t, fmt.Sprint("z", index%2), 3, fmt.Sprint("d", index), seeds...)
		seeds = []string{daemons0(daemons, made).address}
		daemons = append(daemons, made)
	}
	for _, each := range daemons {
		require.Eventually(t, func() bool { return len(each.node.Members()) == size }, patience, pollTime)
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
			return each.seen().Online == total && each.backends.PeerWaiting() == total-index
		}, patience, pollTime, "daemon %d", index)
	}
	daemons[5].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	daemons[5].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	for range 2 {
		daemons[4].backends.Failed(backend.Incarnation{ID: "one"}, time.Now())
	}
	for index, each := range daemons {
		require.Eventually(t, func() bool { return each.seen().Ejected }, patience, pollTime, "daemon %d", index)
	}
	daemons[7].cancel()
	for _, each := range daemons[:7] {
		require.Eventually(t, func() bool { return each.seen().Online == total-7 }, patience, pollTime)
	}
}

// daemons0 is the first daemon, which the others join.
func daemons0(daemons []*daemon, made *daemon) *daemon {
	if len(daemons) == 0 {
		return made
	}
	return daemons[0]
}
