package acceptor_test

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/acceptor"
)

// failingListener fails some calls of Accept before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		failed := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: failed}
	}
	return l.Listener.Accept()
}

// TestAcceptGoesOnAfterFailures: accepting must go on after a failure that passes, and report the
// failure once.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	var output bytes.Buffer
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	failing := &failingListener{Listener: listener, failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM}}
	served := acceptor.Retrying(failing, slog.New(slog.NewTextHandler(&output, nil)))
	caller, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	accepted, err := served.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	require.Equal(t, caller.LocalAddr().String(), accepted.RemoteAddr().String())
	require.Equal(t, 1, strings.Count(output.String(), "msg=accept_failed"), output.String())
	require.Equal(t, 1, strings.Count(output.String(), "msg=accept_regained"), output.String())
}

// TestAcceptEndsWhenClosed: a closed listener must end its server, also during failures.
func TestAcceptEndsWhenClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	served := acceptor.Retrying(&failingListener{Listener: listener, failures: []error{syscall.EMFILE}}, slog.New(slog.DiscardHandler))
	timer := time.AfterFunc(time.Millisecond, func() { _ = served.Close() })
	defer timer.Stop()
	_, err = served.Accept()
	require.ErrorIs(t, err, net.ErrClosed)
}
