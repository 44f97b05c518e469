package httphead_test

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/httphead"
	"topazpulley/internal/httphead/headtest"
)

// Guards against a status outside of 100 to 599, such as 000, that a parser takes for a success, however its
// line arrives.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const fields = "\r\nContent-Length: 2\r\n\r\nok"
	for _, line := range headtest.InvalidStatusLines() {
		for _, before := range []string{"", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := before + line + fields
			for _, source := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
				require.Error(t, readChecked(t, source), "%q", text)
			}
		}
		reader := bufio.NewReader(iotest.OneByteReader(strings.NewReader(line + fields)))
		err := httphead.CheckAnswer(reader)
		header := fasthttp.ResponseHeader{}
		isInterim := strings.HasPrefix(line, "HTTP/1.1 150")
		require.Equal(t, isInterim, err == nil && header.Read(reader) == nil, "%q", line)
	}
}

// Guards against answers with a valid status that are refused.
func TestValidStatusIsAnAnswer(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 204 No Content", "HTTP/1.1 404 Not  Found", "HTTP/1.1 599 Own", "HTTP/1.1 299 600"} {
		text := "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + line + "\r\nContent-Length: 0\r\n\r\n"
		require.NoError(t, readChecked(t, strings.NewReader(text)), "%q", line)
	}
}

// readChecked reads an answer as clients do whose connections are checked.
func readChecked(t *testing.T, source io.Reader) error {
	t.Helper()
	dial := httphead.CheckedDial(func(string) (net.Conn, error) { return sourceConn{source: source}, nil })
	checked, err := dial("")
	require.NoError(t, err)
	response := fasthttp.Response{}
	return response.Read(bufio.NewReader(checked))
}

// sourceConn is a connection that is only read.
type sourceConn struct {
	net.Conn
	source io.Reader
}

// Read implements io.Reader.
func (c sourceConn) Read(buffer []byte) (int, error) { return c.source.Read(buffer) }
