package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzRequest: a request of any method, target, host, field and body is either refused by the
// Writer or parsed by net/http as exactly this request with no bytes after it.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/a?b=c", "host.example", "X-A", "b", []byte("body"))
	f.Add("GET", "/a HTTP/1.1\r\n\r\nGET /b", "host", "X-A", "b", []byte{})
	f.Add("POST", "/%zz", "a\r\nX: y", "X-A: b\r\nX-B", "c\nX-C: d", []byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add("PUT", "//a/../b", "[::1]:80", "content-length", " 1", []byte("a"))
	f.Add("HEAD", "/\x80", "", "Transfer-Encoding", "chunked", []byte("0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, method, target, host, name, value string, body []byte) {
		writer := NewRequest(method, target, host, len(body))
		writer.Field(name, value)
		message, err := writer.Whole(body)
		if err != nil {
			var malformed *Fault
			require.ErrorAs(t, err, &malformed)
			return
		}
		_, err = PeekRequest(bufio.NewReaderSize(bytes.NewReader(message), len(message)))
		require.NoError(t, err, "the written request must be accepted")
		reader := bufio.NewReader(bytes.NewReader(message))
		read, err := http.ReadRequest(reader)
		require.NoError(t, err)
		require.Equal(t, method, read.Method)
		require.Equal(t, target, read.RequestURI)
		require.Equal(t, host, read.Host)
		require.Equal(t, []string{value}, read.Header.Values(name))
		require.Len(t, withoutLength(read.Header), 1)
		content, err := io.ReadAll(read.Body)
		require.NoError(t, err)
		require.True(t, bytes.Equal(body, content))
		requireNothing(t, reader)
	})
}

// FuzzAnswer: the same for answers, including those without a body.
func FuzzAnswer(f *testing.F) {
	f.Add(200, false, "X-A", "b", []byte("body"))
	f.Add(204, false, "X-A", "b", []byte("HTTP/1.1 200 OK\r\n\r\n"))
	f.Add(304, true, "X-A", "b\r\n\r\nHTTP/1.1 200 OK", []byte("body"))
	f.Add(100, false, "X-A : b\r\nX-B", "c", []byte{})
	f.Add(1000, false, "Content-Length", "0", []byte{})
	f.Fuzz(func(t *testing.T, status int, isToHead bool, name, value string, body []byte) {
		method := http.MethodGet
		if isToHead {
			method = http.MethodHead
		}
		writer := NewAnswer(status, isToHead)
		writer.Field(name, value)
		message, err := writer.Whole(body)
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(message))
		read, err := http.ReadResponse(reader, &http.Request{Method: method})
		require.NoError(t, err)
		require.Equal(t, status, read.StatusCode)
		require.Equal(t, []string{value}, read.Header.Values(name))
		require.Len(t, withoutLength(read.Header), 1)
		content, err := io.ReadAll(read.Body)
		require.NoError(t, err)
		if !isToHead && !IsBodyless(status) {
			require.True(t, bytes.Equal(body, content))
		}
		requireNothing(t, reader)
	})
}

func withoutLength(fields http.Header) http.Header {
	fields = fields.Clone()
	fields.Del(fieldLength)
	return fields
}

func requireNothing(t *testing.T, reader *bufio.Reader) {
	t.Helper()
	left, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Empty(t, string(left))
}

// TestPeekRequestReadsHeadOnly: PeekRequest waits for a head that arrives byte by byte and does
// not return bytes after it.
func TestPeekRequestReadsHeadOnly(t *testing.T) {
	head := "\r\nPOST /a HTTP/1.1\r\nHost: a\r\n\r\n"
	piecewise, writer := io.Pipe()
	go func() {
		for index := range len(head) {
			_, _ = writer.Write([]byte(head[index : index+1]))
		}
	}()
	got, err := PeekRequest(bufio.NewReader(piecewise))
	require.NoError(t, err)
	require.Equal(t, head, string(got))
	got, err = PeekRequest(bufio.NewReader(strings.NewReader(head + "\nbody")))
	require.NoError(t, err)
	require.Equal(t, head, string(got))
	_, err = PeekRequest(bufio.NewReaderSize(strings.NewReader("GET /"+strings.Repeat("a", 100)+" HTTP/1.1\r\n\r\n"), 64))
	require.ErrorIs(t, err, bufio.ErrBufferFull)
	_, err = PeekRequest(bufio.NewReader(strings.NewReader("GET / HTTP/1.1\r\nHost: a\r\n")))
	require.ErrorIs(t, err, io.EOF)
}

// TestFieldOfMalformedHead: the id of a refused request is found for the log.
func TestFieldOfMalformedHead(t *testing.T) {
	require.Equal(t, "r1", FieldOf([]byte("GET / HTTP/1.1\nx-id:  r1 \r\nX-Id: r2\r\n"), "X-Id"))
	require.Empty(t, FieldOf([]byte("GET / HTTP/1.1\r\n"), "X-Id"))
	require.Len(t, FieldOf([]byte("X-Id: "+strings.Repeat("a", 1000)), "X-Id"), shownBytes)
}

func BenchmarkPeekRequest(b *testing.B) {
	head := []byte("POST /safe/a%2Fb?x=1 HTTP/1.1\r\nHost: host.example\r\nX-Request-Id: 9c41d07be2a35f68\r\nX-Request-Model: m\r\nX-Request-Tokens: 1460,80\r\n" +
		"X-Request-Prompt: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nX-Request-Deadline: 8000\r\nContent-Length: 4\r\n\r\n")
	reader := bufio.NewReader(bytes.NewReader(head))
	b.ReportAllocs()
	for b.Loop() {
		reader.Reset(bytes.NewReader(head))
		if _, err := PeekRequest(reader); err != nil {
			b.Fatal(err)
		}
	}
}
