// Package acceptor keeps servers accepting connections after failures that pass.
package acceptor

import (
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"
)

// retryPause is the pause after a failure to accept a connection.
const retryPause = 20 * time.Millisecond

// retrying is a listener whose Accept fails only once it is closed.
type retrying struct {
	net.Listener
	log *slog.Logger
}

// Retrying returns a listener whose Accept fails only once the listener is closed. Other
// failures pass, such as a process without free file descriptors, but servers stop at them,
// while the kernel goes on accepting connections that nobody reads.
func Retrying(listener net.Listener, log *slog.Logger) net.Listener {
	return &retrying{Listener: listener, log: log}
}

// Accept implements net.Listener.
func (l *retrying) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		accepted, err := l.Listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, errors.WithStack(err)
		case err == nil && failures > 0:
			l.log.Info("accept_regained", "address", l.Addr().String(), "failures", failures)
			return accepted, nil
		case err == nil:
			return accepted, nil
		case failures == 0:
			l.log.Error("accept_failed", "address", l.Addr().String(), "error", err)
		}
		time.Sleep(retryPause)
	}
}
