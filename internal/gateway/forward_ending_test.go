package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/httphead/headtest"
	"topazpulley/internal/membership"
)

// Guards against an answer of another daemon that was cut off and is passed on as a whole one.
func TestCutForwardedAnswerIsNotComplete(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n"
	for name, whole := range map[string]string{
		"length":   begin + "Content-Length: 9\r\n\r\nthe answer"[:len("Content-Length: 9\r\n\r\n")+9],
		"chunked":  begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nthe\r\n6\r\nanswer\r\n0\r\n\r\n",
		"unframed": begin + "\r\nthe answer",
	} {
		t.Run(name, func(t *testing.T) {
			sent := ""
			address := headtest.ServeCut(t, func() string { return sent })
			daemon := serveCalls(t, time.Second, func(c *caller) { require.True(t, c.forwardTo(membership.Member{HTTPAddress: address})) })
			for size := 0; size <= len(whole); size++ {
				sent = whole[:size]
				isComplete := name != "unframed" && size == len(whole)
				require.Equal(t, isComplete, isAnswered(t, daemon), "%d of %d bytes", size, len(whole))
			}
		})
	}
}

// isAnswered reports whether a call is answered with 200 and a whole body.
func isAnswered(t *testing.T, daemon string) bool {
	t.Helper()
	conn, err := net.Dial("tcp", daemon)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return false
	}
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// Guards against an answer of another daemon whose head was cut off, and that is passed on with the
// body of the answer behind it.
func TestForwardedAnswerBehindCutHeadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nServer: a\r\nConnection: close\r\n\r\n"
	const other = "HTTP/1.1 200 OK\r\nContent-Type: text/css\r\nContent-Length: 5\r\n\r\nother"
	sent := ""
	address := headtest.ServeCut(t, func() string { return sent })
	daemon := serveCalls(t, time.Second, func(c *caller) { require.True(t, c.forwardTo(membership.Member{HTTPAddress: address})) })
	for size := 1; size < len(head); size++ {
		sent = head[:size] + other
		require.False(t, isAnswered(t, daemon), "%d of %d bytes", size, len(head))
	}
}

// Guards against an answer of another daemon whose status is none, and that is passed on as a success.
func TestForwardedAnswerWithInvalidStatusIsNoAnswer(t *testing.T) {
	sent := ""
	address := headtest.ServeCut(t, func() string { return sent })
	daemon := serveCalls(t, time.Second, func(c *caller) { require.True(t, c.forwardTo(membership.Member{HTTPAddress: address})) })
	for _, line := range headtest.InvalidStatusLines() {
		sent = line + "\r\nContent-Length: 5\r\n\r\nother"
		require.False(t, isAnswered(t, daemon), "%q", line)
	}
}

// Guards against a part of another daemon's answer to an upload that is passed on as whole: it comes before
// the upload is read, and a reset follows.
func TestPartOfAnEarlyForwardedAnswerIsNotComplete(t *testing.T) {
	for name, sent := range map[string]string{"unframed": "HTTP/1.1 200 OK\r\n\r\na part", "length": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\na part", "chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\na part\r\n"} {
		t.Run(name, func(t *testing.T) {
			address := headtest.Serve(t, func(connection net.Conn) {
				_, _ = connection.Read(make([]byte, 1024))
				_, _ = io.WriteString(connection, sent)
				time.Sleep(20 * time.Millisecond)
				_ = connection.(*net.TCPConn).SetLinger(0)
				_ = connection.Close()
			})
			daemon := serveCalls(t, time.Second, func(c *caller) { require.True(t, c.forwardTo(membership.Member{HTTPAddress: address})) })
			conn, err := net.Dial("tcp", daemon)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", 1<<20, make([]byte, 1<<20))
			require.NoError(t, err)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return
			}
			_, err = io.ReadAll(response.Body)
			require.False(t, err == nil && response.StatusCode == http.StatusOK)
		})
	}
}
