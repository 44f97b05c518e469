package exchange_test

import (
	"context"
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

// daemon is a member with its back ends.
type daemon struct {
	address  string
	node     *cluster.Node
	backends *backend.Set
	cancel   context.CancelFunc
}

func start(t *testing.T, name string, seeds ...string) *daemon {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &daemon{address: listener.Addr().String(), backends: backend.NewSet()}
	require.NoError(t, listener.Close())
	made.backends.Put(backend.Instance{ID: "one", Service: "s", Slots: 8})
	quiet := slog.New(slog.DiscardHandler)
	transport := peer.NewTransport(name, made.address, []byte(strings.Repeat("k", 32)), quiet)
	self := membership.Member{Name: name, Address: made.address, Zone: "z", Incarnation: 1}
	made.node = cluster.NewNode(membership.DefaultConfig(100*time.Millisecond), self, transport, quiet)
	loads := exchange.New(made.node, made.backends, quiet)
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
// of back ends reach the other daemon; the work of a daemon that falls silent
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
		first.backends.Failed("one", time.Now())
	}
	require.Eventually(t, func() bool { return second.seen().Ejected }, patience, pollTime)
	first.cancel()
	require.Eventually(t, func() bool { return second.seen().Batch == 0 }, patience, pollTime)
}
