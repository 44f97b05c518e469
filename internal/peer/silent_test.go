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

// mutingProxy is a TCP proxy. Its open connections can be muted: they stay open and drop
// all data. Connections opened later work.
type mutingProxy struct {
	listener net.Listener
	mutex    sync.Mutex
	// toCaller and toTarget are the open connections to callers and to the target.
	toCaller, toTarget []*mutableConnection
}

// mutableConnection is a connection that drops written bytes while isMuted is set.
type mutableConnection struct {
	net.Conn
	mutex   sync.Mutex
	isMuted bool
}

func (s *mutableConnection) Write(bytes []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isMuted {
		return len(bytes), nil
	}
	return s.Conn.Write(bytes)
}

// newMutingProxy starts a proxy to target.
func newMutingProxy(t *testing.T, target string) *mutingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	proxy := &mutingProxy{listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				_ = accepted.Close()
				continue
			}
			toCaller, toTarget := &mutableConnection{Conn: accepted}, &mutableConnection{Conn: upstream}
			proxy.mutex.Lock()
			proxy.toCaller, proxy.toTarget = append(proxy.toCaller, toCaller), append(proxy.toTarget, toTarget)
			proxy.mutex.Unlock()
			go func() { _, _ = io.Copy(toTarget, accepted) }()
			go func() { _, _ = io.Copy(toCaller, upstream) }()
		}
	}()
	return proxy
}

// muteToCaller mutes all open connections to callers.
func (s *mutingProxy) muteToCaller() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	setMuted(s.toCaller)
}

// muteToTarget mutes all open connections to the target.
func (s *mutingProxy) muteToTarget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	setMuted(s.toTarget)
}

func setMuted(connections []*mutableConnection) {
	for _, connection := range connections {
		connection.mutex.Lock()
		connection.isMuted = true
		connection.mutex.Unlock()
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

// TestSilentLinkIsReplaced checks that a connection which stops passing data without a
// reset is replaced: if answers are lost, if calls are, and if both are.
func TestSilentLinkIsReplaced(t *testing.T) {
	for name, mute := range map[string]func(*mutingProxy){
		"answers":   (*mutingProxy).muteToCaller,
		"calls":     (*mutingProxy).muteToTarget,
		"both ways": func(proxy *mutingProxy) { proxy.muteToCaller(); proxy.muteToTarget() },
	} {
		t.Run(name, func(t *testing.T) { requireSilentLinkIsReplaced(t, mute) })
	}
}

func requireSilentLinkIsReplaced(t *testing.T, mute func(*mutingProxy)) {
	t.Helper()
	_, target := startTransport(t, "b")
	caller, _ := startTransport(t, "a")
	proxy := newMutingProxy(t, target)
	call := func() error {
		bounded, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := peer.Call[peer.Empty, peer.Empty](bounded, caller, proxy.listener.Addr().String(), "echo", peer.Empty{})
		return err
	}
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, 10*time.Millisecond)
	mute(proxy)
	require.Error(t, call())
	require.Eventually(t, func() bool { return call() == nil }, 10*time.Second, 50*time.Millisecond)
}
