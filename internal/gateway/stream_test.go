package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/membership"
	"topazpulley/internal/settings"
)

// serveCalls starts a server that answers each call with handle, and returns its
// address.
func serveCalls(t *testing.T, writeTimeout time.Duration, handle func(*caller)) string {
	t.Helper()
	gateway := newTestGateway(t, &scriptedEngine{})
	gateway.Settings.Zone = "a"
	gateway.forward = newForwardClient(settings.Settings{})
	server := &fasthttp.Server{
		WriteTimeout: writeTimeout,
		Handler:      func(call *fasthttp.RequestCtx) { handle(&caller{gateway: gateway, call: call}) },
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// requestRaw sends a request with the given HTTP version and returns the bytes received
// until the connection closes.
func requestRaw(t *testing.T, address, target, version string) (string, error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET "+target+" "+version+"\r\nHost: a\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	content, err := io.ReadAll(conn)
	return string(content), err
}

// TestHTTP10CallersGetNoChunks checks that answers to HTTP/1.0 callers, which do not
// support chunked encoding, are not chunked.
func TestHTTP10CallersGetNoChunks(t *testing.T) {
	address := serveCalls(t, time.Second, func(c *caller) {
		c.call.SetContentType("text/event-stream")
		c.streamBody(func(output *bufio.Writer) error {
			_, err := output.WriteString("data: [DONE]\n\n")
			return err
		})
	})
	got, err := requestRaw(t, address, "/", "HTTP/1.0")
	require.NoError(t, err)
	head, body, _ := strings.Cut(got, "\r\n\r\n")
	require.Equal(t, "data: [DONE]\n\n", body)
	require.NotContains(t, head, "Transfer-Encoding")
	require.Contains(t, head, "Content-Type: text/event-stream")
	got, err = requestRaw(t, address, "/", "HTTP/1.1")
	require.NoError(t, err)
	require.Contains(t, got, "Transfer-Encoding: chunked")
	require.Contains(t, got, "data: [DONE]\n\n")
}

// TestLongStreamOutlastsWriteTimeout checks that the write timeout applies to each part
// of a stream and not to the entire answer.
func TestLongStreamOutlastsWriteTimeout(t *testing.T) {
	const parts, pause = 12, 100 * time.Millisecond
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		address := serveCalls(t, parts*pause/4, func(c *caller) {
			c.streamBody(func(output *bufio.Writer) error {
				for number := range parts {
					time.Sleep(pause)
					if _, err := fmt.Fprintf(output, "part %d\n", number); err != nil {
						return err
					}
					if err := output.Flush(); err != nil {
						return err
					}
				}
				return nil
			})
		})
		got, err := requestRaw(t, address, "/", version)
		require.NoError(t, err, version)
		require.Contains(t, got, fmt.Sprintf("part %d\n", parts-1), version)
	}
}

// TestTruncatedForwardedAnswerIsIncomplete checks that an answer that is truncated on the
// way from the other zone does not look complete to the caller.
func TestTruncatedForwardedAnswerIsIncomplete(t *testing.T) {
	for name, length := range map[string]string{"chunks": "", "length": "1000"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(name+" "+version, func(t *testing.T) {
				other := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
					if length != "" {
						writer.Header().Set("Content-Length", length)
					}
					_, _ = writer.Write([]byte("the beginning"))
					writer.(http.Flusher).Flush()
					abortConnection(writer)
				}))
				defer other.Close()
				address := serveCalls(t, time.Second, func(c *caller) {
					c.forwardTo(membership.Member{HTTPAddress: strings.TrimPrefix(other.URL, "http://")})
				})
				conn, err := net.Dial("tcp", address)
				require.NoError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, "GET / "+version+"\r\nHost: a\r\n\r\n")
				require.NoError(t, err)
				response, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					return
				}
				content, err := io.ReadAll(response.Body)
				require.Error(t, err, "the truncated answer looks complete: %q", content)
			})
		}
	}
}

// TestForwardedTargetIsUnchanged checks that the target of a forwarded request is neither
// normalized nor merged with the other daemon's address.
func TestForwardedTargetIsUnchanged(t *testing.T) {
	got := make(chan string, 1)
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { got <- request.RequestURI }))
	defer other.Close()
	address := serveCalls(t, time.Second, func(c *caller) {
		c.forwardTo(membership.Member{HTTPAddress: strings.TrimPrefix(other.URL, "http://")})
	})
	for _, target := range []string{"/v1/services/meter/a%2Fb/../c?d=e%0d&f", "//h/v1/", "/v1/a%41"} {
		_, err := requestRaw(t, address, target, "HTTP/1.1")
		require.NoError(t, err)
		select {
		case received := <-got:
			require.Equal(t, target, received)
		case <-time.After(5 * time.Second):
			require.Fail(t, "nothing was forwarded", target)
		}
	}
}

// serveEngine starts a server with the handler and returns its address.
func serveEngine(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return strings.TrimPrefix(server.URL, "http://")
}

// TestDisconnectEndsForwardedStream checks that the connection to the other zone's daemon
// is closed when the caller of a forwarded stream disconnects.
func TestDisconnectEndsForwardedStream(t *testing.T) {
	left := make(chan struct{})
	address := serveEngine(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		defer close(left)
		for request.Context().Err() == nil {
			_, _ = writer.Write([]byte("part\n"))
			writer.(http.Flusher).Flush()
			time.Sleep(10 * time.Millisecond)
		}
	}))
	daemon := serveCalls(t, time.Second, func(c *caller) { c.forwardTo(membership.Member{HTTPAddress: address}) })
	conn, err := net.Dial("tcp", daemon)
	require.NoError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	_, err = conn.Read(make([]byte, 64))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the forwarded call continues after the caller disconnected")
	}
}

// TestDisconnectEndsForwardedAnswer checks that the connection to the other zone's daemon
// is closed when the caller disconnects before a forwarded answer begins. With an
// idempotency key it stays open, because the caller may ask for the answer later.
func TestDisconnectEndsForwardedAnswer(t *testing.T) {
	for name, key := range map[string]string{"without a key": "", "with a key": HeaderIdempotencyKey + ": k\r\n"} {
		t.Run(name, func(t *testing.T) {
			wait := 5 * time.Second
			if key != "" {
				wait = 5 * presencePollInterval
			}
			began, left := make(chan struct{}), make(chan struct{})
			released, release := context.WithCancel(t.Context())
			defer release()
			address := serveEngine(t, http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				close(began)
				select {
				case <-request.Context().Done():
					close(left)
				case <-released.Done():
				}
			}))
			daemon := serveCalls(t, time.Second, func(c *caller) { c.forwardTo(membership.Member{HTTPAddress: address}) })
			conn, err := net.Dial("tcp", daemon)
			require.NoError(t, err)
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n"+key+"\r\n")
			require.NoError(t, err)
			<-began
			require.NoError(t, conn.Close())
			select {
			case <-left:
				require.Empty(t, key, "the forwarded call ended in spite of its idempotency key")
			case <-time.After(wait):
				require.NotEmpty(t, key, "the forwarded call continues after the caller disconnected")
			}
		})
	}
}
