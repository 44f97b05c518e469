package peer

import (
	"bytes"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/hamba/avro/v2"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/membership"
)

func samplePacket() membership.Packet {
	return membership.Packet{
		Kind: membership.PacketPing, From: "a", FromAddress: "127.0.0.1:1", Sequence: 7, Revision: 3,
		Members: []membership.Member{{Name: "b", Incarnation: 2, State: membership.StateSuspect}},
		Items:   []membership.Item{{Key: "k", Version: 9, Payload: []byte("v"), Priority: membership.PriorityLoad}},
	}
}

func TestForgedDatagramIsRefused(t *testing.T) {
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

// TestUnauthenticatedBytesAreRefused checks that a connection without a valid hello gets
// only the challenge, and that the transport keeps working.
func TestUnauthenticatedBytesAreRefused(t *testing.T) {
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
		require.Len(t, answer, frameHeaderBytes+nonceBytes)
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
		// A valid authentication code lets the body reach the decoder.
		framed := append([]byte{ProtocolVersion}, authenticate(key, body)...)
		_, _ = OpenDatagram(key, append(framed, body...))
	})
}

func FuzzEnvelope(f *testing.F) {
	framed, _ := encodeEnvelope(envelope{ID: 1, Method: "m", Body: []byte("b"), Failure: []wireFailure{{Kind: "k"}}})
	f.Add(framed[frameHeaderBytes:])
	f.Fuzz(func(_ *testing.T, body []byte) { _ = avrocodec.Unmarshal(envelopeSchema, body, &envelope{}) })
}

// FuzzCalls checks that decoding the messages of a connection does not panic.
func FuzzCalls(f *testing.F) {
	opened, _ := avro.Marshal(helloSchema, hello{Version: 1, Name: "a", Nonce: []byte("n"), MAC: []byte("m")})
	f.Add(opened)
	answered, _ := avro.Marshal(syncAnswerSchema, SyncAnswerMessage{membership.SyncAnswer{Digests: []int64{1}, Members: samplePacket().Members, Items: samplePacket().Items}})
	f.Add(answered)
	f.Fuzz(func(_ *testing.T, body []byte) {
		_ = avrocodec.Unmarshal(helloSchema, body, &hello{})
		_ = avrocodec.Unmarshal(syncRequestSchema, body, &SyncRequestMessage{})
		_ = avrocodec.Unmarshal(syncAnswerSchema, body, &SyncAnswerMessage{})
		_ = avrocodec.Unmarshal(syncPushSchema, body, &SyncPushMessage{})
	})
}

// FuzzReceive checks that a member which receives any authenticated datagram keeps
// working, and that the datagrams it sends can be decoded.
func FuzzReceive(f *testing.F) {
	key := make([]byte, 32)
	sealed, _ := SealDatagram(key, samplePacket())
	f.Add(sealed[1+macBytes:])
	relayed, _ := SealDatagram(key, membership.Packet{Kind: membership.PacketPing + 2, From: "b", FromAddress: "127.0.0.1:2", Target: "c", TargetAddress: "127.0.0.1:3", Digest: -1})
	f.Add(relayed[1+macBytes:])
	f.Fuzz(func(t *testing.T, body []byte) {
		framed := append([]byte{ProtocolVersion}, authenticate(key, body)...)
		packet, err := OpenDatagram(key, append(framed, body...))
		if err != nil {
			return
		}
		now := time.Unix(1000, 0)
		self := membership.Member{Name: "a", Address: "127.0.0.1:1", Zone: "zone", Incarnation: 1, State: membership.StateAlive}
		core := membership.New(membership.DefaultConfig(time.Second), self, rand.New(rand.NewPCG(1, 2)), now)
		sent := core.Receive(now, packet)
		for range 5 {
			now = now.Add(time.Second)
			sent = append(sent, core.Tick(now)...)
		}
		require.Equal(t, "a", core.Self().Name)
		for _, datagram := range sent {
			sealed, err := SealDatagram(key, datagram.Packet)
			require.NoError(t, err)
			_, err = OpenDatagram(key, sealed)
			require.NoError(t, err)
		}
	})
}

// TestSendBeforeStartDropsDatagram checks that sending before the UDP socket is open
// does not panic. Packets can arrive, and be answered, that early.
func TestSendBeforeStartDropsDatagram(t *testing.T) {
	transport := NewTransport("a", "127.0.0.1:0", make([]byte, 32), slog.New(slog.DiscardHandler))
	require.NotPanics(t, func() { transport.SendDatagram(membership.Datagram{Address: "127.0.0.1:1", Packet: samplePacket()}) })
}
