package peer

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
)

func samplePacket() membership.Packet {
	return membership.Packet{
		Kind: membership.PacketPing, From: "a", FromAddress: "127.0.0.1:1", Sequence: 7, Revision: 3,
		Members: []membership.Member{{Name: "b", Incarnation: 2, State: membership.StateSuspect}},
		Items:   []membership.Item{{Key: "k", Version: 9, Payload: []byte("v"), Priority: membership.PriorityLoad}},
	}
}

func TestDatagramSurvivesAndForgeryDoesNot(t *testing.T) {
	key := bytes.Repeat([]byte{7}, 32)
	sealed, err := SealDatagram(key, samplePacket())
	require.NoError(t, err)
	opened, err := OpenDatagram(key, sealed)
	require.NoError(t, err)
	require.Equal(t, samplePacket(), opened)
	for position := range sealed {
		forged := bytes.Clone(sealed)
		forged[position] ^= 1
		_, err := OpenDatagram(key, forged)
		require.Error(t, err)
	}
	_, err = OpenDatagram(bytes.Repeat([]byte{8}, 32), sealed)
	require.Error(t, err)
}

// TestGarbageOnThePeerPortIsDropped: a stranger's bytes get the challenge and
// nothing else, and the transport goes on.
func TestGarbageOnThePeerPortIsDropped(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	transport := NewTransport("a", address, make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NoError(t, transport.Start())
	defer transport.Stop()
	for _, garbage := range [][]byte{[]byte("GET / HTTP/1.1\r\n\r\n"), {0, 0, 0, 4, 1, 2, 3, 4}, {255, 255, 255, 255}} {
		connection, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.NoError(t, connection.SetDeadline(time.Now().Add(30*time.Second)))
		_, err = connection.Write(garbage)
		require.NoError(t, err)
		answer, _ := io.ReadAll(connection)
		require.Len(t, answer, frameHeadBytes+nonceBytes)
		_ = connection.Close()
	}
	datagram, err := net.Dial("udp", address)
	require.NoError(t, err)
	_, err = datagram.Write([]byte("garbage that is long enough to look like a datagram"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return transport.Refused() >= 2 }, 30*time.Second, 10*time.Millisecond)
}

func FuzzOpenDatagram(f *testing.F) {
	key := make([]byte, 32)
	sealed, _ := SealDatagram(key, samplePacket())
	f.Add(sealed[1+macBytes:])
	f.Fuzz(func(t *testing.T, body []byte) {
		// The body is sealed, so that the decoder behind the check is reached.
		whole := append([]byte{ProtocolVersion}, authenticate(key, body)...)
		_, _ = OpenDatagram(key, append(whole, body...))
	})
}

func FuzzEnvelope(f *testing.F) {
	framed, _ := encodeEnvelope(envelope{ID: 1, Method: "m", Body: []byte("b"), Failure: []wireFailure{{Kind: "k"}}})
	f.Add(framed[frameHeadBytes:])
	f.Fuzz(func(_ *testing.T, body []byte) { _ = decode(envelopeSchema, body, &envelope{}) })
}

// TestDatagramsBeforeTheStartAreLost: peers may be heard, and answered, before
// the own socket is open.
func TestDatagramsBeforeTheStartAreLost(t *testing.T) {
	transport := NewTransport("a", "127.0.0.1:0", make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NotPanics(t, func() { transport.SendDatagram(membership.Datagram{Address: "127.0.0.1:1", Packet: samplePacket()}) })
}
