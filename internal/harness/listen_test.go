package harness_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/failure"
)

// TestListenFailureReported checks that a daemon fails to start with a listen error
// when one of its ports is in use.
func TestListenFailureReported(t *testing.T) {
	running := start(t, []string{"a"}, 2, 2)
	process := running.Settings[1]
	require.NoError(t, running.Daemons[1].Kill())
	// The UDP port comes last: a start that fails on it keeps the peer TCP port open until
	// the process exits.
	for _, taken := range []struct {
		name string
		take func() (io.Closer, error)
		code string
	}{
		{"HTTP port", func() (io.Closer, error) { return net.Listen("tcp", process.HTTPAddress) }, "http_listen"},
		{"peer TCP port", func() (io.Closer, error) { return net.Listen("tcp", process.PeerAddress) }, "peer_listen"},
		{"peer UDP port", func() (io.Closer, error) { return net.ListenPacket("udp", process.PeerAddress) }, "peer_listen"},
	} {
		t.Run(taken.name, func(t *testing.T) {
			// The previous failed start may still be closing its listener.
			var holder io.Closer
			require.Eventually(t, func() bool {
				held, err := taken.take()
				holder = held
				return err == nil
			}, waitTimeout, 10*time.Millisecond)
			defer func() { _ = holder.Close() }()
			err := running.StartDaemon(1)
			require.True(t, failure.HasCode(err, taken.code), "%v", err)
		})
	}
}
