package peer_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/peer"
)

// swallowing is a proxy whose present connections can fall silent, while later
// ones work.
type swallowing struct {
	listener net.Listener
	mutex    sync.Mutex
	// back and forth are the open connections towards callers and towards the target.
	back, forth []*silenced
}

// silenced passes bytes on until it is muted.
type silenced struct {
	net.Conn
	mutex   sync.Mutex
	isMuted bool
}

func (s *silenced) Write(bytes []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isMuted {
		return len(bytes), nil
	}
	return s.Conn.Write(bytes)
}

func newSwallowing(t *testing.T, target string) *swallowing {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	made := &swallowing{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", target)
			if err != nil {
				_ = accepted.Close()
				continue
			}
			back, forth := &silenced{Conn: accepted}, &silenced{Conn: onward}
			made.mutex.Lock()
			made.back, made.forth = append(made.back, back), append(made.forth, forth)
			made.mutex.Unlock()
			go func() { _, _ = io.Copy(forth, accepted) }()
			go func() { _, _ = io.Copy(back, onward) }()
		}
	}()
	return made
}

// muteBack makes all present connections silent towards the caller.
func (s *swallowing) muteBack() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mute(s.back)
}

// muteForth makes all present connections silent towards the target.
func (s *swallowing) muteForth() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	mute(s.forth)
}

func mute(directions []*silenced) {
	for _, each := range directions {
		each.mutex.Lock()
		each.isMuted = true
		each.mutex.Unlock()
	}
}

func startTransport(t *testing.T, name string) (*peer.Transport, string) {
	t.Helper()
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := probe.Addr().String()
	require.NoError(t, probe.Close())
	transport := peer.NewTransport(name, address, make([]byte, 32), slog.New(slog.DiscardHandler))
	peer.Handle(transport, "echo", func(_ context.Context, _ string, request peer.Empty) (peer.Empty, error) { return request, nil })
	require.NoError(t, transport.Start())
	t.Cleanup(transport.Stop)
	return transport, address
}

// TestSilentLinkIsReplaced: a connection that falls silent without a reset fails
// calls for a bounded time only; the next call opens another. So it is when answers
// are lost, when calls are, and when both.
func TestSilentLinkIsReplaced(t *testing.T) {
	for name, silence := range map[string]func(*swallowing){
		"answers":   (*swallowing).muteBack,
		"calls":     (*swallowing).muteForth,
		"both ways": func(proxy *swallowing) { proxy.muteBack(); proxy.muteForth() },
	} {
		t.Run(name, func(t *testing.T) { requireSilentLinkIsReplaced(t, silence) })
	}
}

func requireSilentLinkIsReplaced(t *testing.T, silence func(*swallowing)) {
	t.Helper()
	_, target := startTransport(t, "b")
	caller, _ := startTransport(t, "a")
	proxy := newSwallowing(t, target)
	call := func() error {
		bounded, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := peer.Call[peer.Empty, peer.Empty](bounded, caller, proxy.listener.Addr().String(), "echo", peer.Empty{})
		return err
	}
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, 10*time.Millisecond)
	silence(proxy)
	require.Error(t, call())
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, 50*time.Millisecond)
}
