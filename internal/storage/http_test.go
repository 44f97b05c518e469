package storage

import (
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/httphead/headtest"
)

// newCutPlatform returns the client of a platform that answers the first request of each connection
// with the bytes that next returns, and closes it.
func newCutPlatform(t *testing.T, next func() string) *HTTPClient {
	t.Helper()
	return NewHTTPClient("http://" + headtest.ServeCut(t, next))
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

// Guards against an object that was cut off and is read as a shorter one.
func TestCutObjectIsNotRead(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	for name, whole := range map[string]string{
		"length":  begin + "Content-Length: 11\r\n\r\nthe content",
		"chunked": begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n8\r\n content\r\n0\r\n\r\n",
		"nothing": begin + "\r\nthe content",
	} {
		sent := ""
		platform := newCutPlatform(t, func() string { return sent })
		for size := 0; size <= len(whole); size++ {
			sent = whole[:size]
			_, err := platform.GetObject(t.Context(), "name")
			require.Equal(t, name != "nothing" && size == len(whole), err == nil, "%s: %d bytes", name, size)
		}
	}
}

// Guards against a call to the platform that counts as done although the status of its answer is none.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	sent := ""
	platform := newCutPlatform(t, func() string { return sent })
	for _, line := range headtest.InvalidStatusLines() {
		sent = line + "\r\nContent-Length: 2\r\n\r\n{}"
		_, err := platform.GetObject(t.Context(), "name")
		require.Error(t, err, "%q", line)
		require.Error(t, platform.Put(t.Context(), "name", []byte("v")), "%q", line)
	}
}
