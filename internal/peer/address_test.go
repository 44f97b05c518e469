package peer_test

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

// emptyMessage is a message without fields.
type emptyMessage struct{}

var emptySchema = avro.MustParse(`{"type":"record","name":"empty","fields":[]}`)

// Schema implements peer.Message.
func (emptyMessage) Schema() avro.Schema { return emptySchema }

// resolveNothing replaces the resolver of host names by one that never answers, and returns the
// number of its queries.
func resolveNothing(t *testing.T) *atomic.Int32 {
	t.Helper()
	queries := &atomic.Int32{}
	before := net.DefaultResolver
	t.Cleanup(func() { net.DefaultResolver = before })
	net.DefaultResolver = &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
		queries.Add(1)
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
		return nil, context.DeadlineExceeded
	}}
	return queries
}

// Guards against a failure detector and callers that are held up by the name in an odd address.
func TestNamesInAddressesAreNotResolved(t *testing.T) {
	queries := resolveNothing(t)
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, probe.Close())
	transport := peer.NewTransport("a", probe.Addr().String(), make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NoError(t, transport.Start())
	t.Cleanup(transport.Stop)
	for _, odd := range []string{"a-name.example:7000", "nowhere", "127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:http", "", ":7000"} {
		transport.SendDatagram(membership.Datagram{Address: odd, Packet: membership.Packet{Kind: membership.PacketPing}})
		_, err := peer.Call[emptyMessage, emptyMessage](t.Context(), transport, odd, "any", emptyMessage{})
		require.Error(t, err, odd)
		require.False(t, peer.IsAddress(odd), odd)
	}
	require.Zero(t, queries.Load())
	require.True(t, peer.IsAddress(probe.Addr().String()))
}
