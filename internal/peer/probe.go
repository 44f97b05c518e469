package peer

import (
	"context"
	"net"
	"syscall"

	"github.com/pkg/errors"
)

// Refuses reports whether the machine at an address refuses connections, which shows that no
// process listens there. Silence shows nothing: the process may be partitioned.
func (t *Transport) Refuses(ctx context.Context, address string) bool {
	dialer, err := t.netDialer()
	if err != nil || !IsAddress(address) {
		return false
	}
	connection, err := dialer.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = connection.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// netDialer returns a dialer from the IP address on which the daemon listens.
func (t *Transport) netDialer() (*net.Dialer, error) {
	host, _, err := net.SplitHostPort(t.address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return &net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(host)}}, nil
}
