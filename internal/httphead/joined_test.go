package httphead

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against joined heads that are noticed only if they arrive in one piece, and against sound
// heads that are refused.
func TestJoinedHeadsAreFoundHoweverTheyArrive(t *testing.T) {
	const sound = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nVia: HTTP/1.1 a\r\nX-A: b\r\n c\r\n\r\n"
	for text, isJoined := range map[string]bool{
		sound:                   false,
		sound + "HTTP/1.1 200 ": false,
		"\r\n" + sound:          false,
		"HTTP/1.1 200 OK\r\nX-A: bHTTP/1.1 200 OK\r\n\r\n":                           true,
		"HTTP/1.1 200 OK\r\nX-A: b\r\n cHTTP/1.0  404 No\r\n\r\n":                    true,
		"HTTP/1.1 200 OKHTTP/1.1 503 No\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\r\nHTTP/1.1 503 No\r\n\r\n":                                 true,
		"HTTP/1.1 100 ContinueHTTP/1.1 503 No\r\n\r\n":                               true,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: HTTP/1.1 200 OK\r\n\r\n": true,
		"HTTP/1.1 200 OK\n\nX: HTTP/1.1 200 OK\r\n\r\n":                              false,
		"no answer HTTP/1.1 200 OK\r\n":                                              false,
		"HTTP/1.1 200 OK\r\nno field":                                                false,
		"HTTP/1.1 200 OK\r\nno field\r\nX: HTTP/1.1 200 OK\r\n\r\n":                  false,
	} {
		for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
			_, err := io.Copy(io.Discard, &checkedConn{Conn: readingConn{source: source}})
			require.Equal(t, isJoined, err != nil, "%q", text)
		}
		reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(strings.TrimPrefix(text, "HTTP/1.1 100 Continue\r\n\r\n"))))
		var found *Fault
		if err := CheckAnswer(reader); isJoined {
			require.ErrorAs(t, err, &found)
			require.Equal(t, KindJoined, found.Kind)
			continue
		}
		require.NoError(t, CheckAnswer(reader), "%q", text)
	}
}

// Guards against a check that ends with the first answer of a connection.
func TestEachAnswerOfAConnectionIsChecked(t *testing.T) {
	client, server := net.Pipe()
	dial := CheckedDial(func(string) (net.Conn, error) { return client, nil })
	checked, err := dial("")
	require.NoError(t, err)
	go func() {
		defer func() { _ = server.Close() }()
		for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OHTTP/1.1 200 OK\r\n\r\n"} {
			_, _ = server.Read(make([]byte, 1))
			_, _ = io.WriteString(server, text)
		}
	}()
	for _, isJoined := range []bool{false, true} {
		_, err := checked.Write([]byte("r"))
		require.NoError(t, err)
		_, err = checked.Read(make([]byte, 100))
		require.Equal(t, isJoined, err != nil)
	}
}

// readingConn is a connection that is only read.
type readingConn struct {
	net.Conn
	source io.Reader
}

// Read implements io.Reader.
func (c readingConn) Read(buffer []byte) (int, error) { return c.source.Read(buffer) }
