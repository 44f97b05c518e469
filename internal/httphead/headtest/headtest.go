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

// InvalidStatusLines are first lines of heads whose status is none of a final answer.
func InvalidStatusLines() []string {
	return []string{
		"HTTP/1.1 000 OK", "HTTP/1.0 000 OK", "HTTP/1.1 000", "HTTP/1.1 0 OK", "HTTP/1.1 00 OK", "HTTP/1.1 0000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 099 OK",
		"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 1e2 OK", "HTTP/1.1 0xC8 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 200OK", "HTTP/1.1  200 OK",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 150 Unknown", "HTTP/1.1 600 Unknown", "HTTP/1.1 999 Unknown", "HTTP/1.1 OK", "HTTP/1.1 ",
	}
}

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
