package peer_test

import (
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against memory taken by a connection that has not proved that it knows the cluster key.
func TestLongFrameBeforeHandshakeIsRefused(t *testing.T) {
	const announced = 30 << 20
	_, address := startTransport(t, "a")
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	head := make([]byte, 4)
	binary.BigEndian.PutUint32(head, announced)
	_, err = connection.Write(head)
	require.NoError(t, err)
	sent, piece := 0, make([]byte, 1<<20)
	for ; err == nil && sent < announced-len(piece); sent += len(piece) {
		require.NoError(t, connection.SetWriteDeadline(time.Now().Add(5*time.Second)))
		_, err = connection.Write(piece)
	}
	require.NoError(t, connection.SetReadDeadline(time.Now().Add(2*time.Second)))
	_, err = io.Copy(io.Discard, connection)
	failed, isNet := err.(net.Error)
	require.False(t, isNet && failed.Timeout(), "%d bytes were taken", sent)
}
