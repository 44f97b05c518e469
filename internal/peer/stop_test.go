package peer_test

import (
	"log/slog"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/peer"
)

// listenerCount exceeds the number of file descriptors of one transport, so that the
// listeners reuse the numbers of all that it closed.
const listenerCount = 32

// TestSecondStopClosesNoOtherDescriptors checks that a second Stop does not close file
// descriptors that were opened after the first.
func TestSecondStopClosesNoOtherDescriptors(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.Addr().String()
	require.NoError(t, probe.Close())
	transport := peer.NewTransport("a", address, make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NoError(t, transport.Start())
	transport.Stop()
	opened := []net.Listener{}
	for range listenerCount {
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
		require.NoError(t, err, "Stop closed a descriptor that it does not own")
		_ = accepted.Close()
	}
}
