// Package headtest serves answers that are cut off for tests of those who read them.
package headtest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// ServeCut answers the first request of each connection with the bytes that next returns, and closes
// it. It returns the address.
func ServeCut(t *testing.T, next func() string) string {
	t.Helper()
	return Serve(t, func(conn net.Conn) { answer(conn, next) })
}

// Serve passes each connection to a function, one after the other. It returns the address.
func Serve(t *testing.T, handle func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			handle(conn)
		}
	}()
	return listener.Addr().String()
}

func answer(conn net.Conn, next func() string) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(conn, next())
}
