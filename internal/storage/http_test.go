package storage

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// newCutPlatform returns the client of a platform that answers the first request of each connection
// with the bytes that next returns, and closes it.
func newCutPlatform(t *testing.T, next func() string) *HTTPClient {
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
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, next())
			}
			_ = conn.Close()
		}
	}()
	return NewHTTPClient("http://" + listener.Addr().String())
}

// Guards against an object with the content of another because the head of its answer was cut off.
func TestObjectBehindCutHeadIsNotRead(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: a\r\n\r\n"
	sent := ""
	platform := newCutPlatform(t, func() string { return sent })
	for size := 1; size < len(head); size++ {
		sent = head[:size] + "HTTP/1.1 200 OK\r\nContent-Type: text/css\r\nContent-Length: 5\r\n\r\nother"
		_, err := platform.GetObject(t.Context(), "name")
		require.Error(t, err, "%q", head[:size])
	}
}
