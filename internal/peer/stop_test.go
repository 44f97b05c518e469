package peer_test

import (
	"log/slog"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/peer"
)

// listeners is more than the descriptors that one transport has.
const listeners = 32

// TestSecondStopClosesNothingOfOthers: a daemon may be stopped and then killed;
// descriptors that were opened in between stay open.
func TestSecondStopClosesNothingOfOthers(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.Addr().String()
	require.NoError(t, probe.Close())
	transport := peer.NewTransport("a", address, make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NoError(t, transport.Start())
	transport.Stop()
	opened := []net.Listener{}
	for range listeners {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = listener.Close() }()
		opened = append(opened, listener)
	}
	transport.Stop()
	for _, listener := range opened {
		go func() {
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err == nil {
				_ = connection.Close()
			}
		}()
		accepted, err := listener.Accept()
		require.NoError(t, err, "a descriptor of somebody else was closed")
		_ = accepted.Close()
	}
}
