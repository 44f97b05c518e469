package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
	"topazpulley/internal/serving"
)

// servePanics starts a server of a gateway without a configuration, whose callers' calls panic before
// their answer, and whose calls of /stream panic in the body. It returns its address.
func servePanics(t *testing.T) string {
	t.Helper()
	gateway := newTestGateway(t, &scriptedEngine{})
	server := &fasthttp.Server{Handler: func(call *fasthttp.RequestCtx) {
		if string(call.Path()) != "/stream" {
			gateway.handle(call)
			return
		}
		(&caller{gateway: gateway, call: call}).streamBody(func(output *bufio.Writer) error {
			_, _ = output.WriteString("the beginning")
			_ = output.Flush()
			panic("in the answer")
		})
	}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Shutdown() })
	return listener.Addr().String()
}

// Guards against a programming error in one call that ends the process with all others, and against an
// answer that looks whole after one.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	address := servePanics(t)
	response, err := http.Get("http://" + address + "/v1/models")
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, 500, response.StatusCode)
	require.Contains(t, string(body), serving.CodePanic)
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		got, err := requestRaw(t, address, "/stream", version)
		require.Error(t, err, "the answer looks whole: %q", got)
	}
	response, err = http.Get("http://" + address + "/healthz")
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, 200, response.StatusCode)
}

// A caller that closes only its sending half counts as one that has left: its work ends in time, and it
// gets a failure.
func TestHalfClosedCallerGetsFailure(t *testing.T) {
	ended := make(chan time.Time, 1)
	address := serveCalls(t, time.Second, func(c *caller) {
		request := newTestRequest(true)
		ctx, cancel := c.context(request, time.Now().Add(10*time.Second), "")
		defer cancel()
		<-ctx.Done()
		ended <- time.Now()
		c.gateway.writeFailure(c.call, failure.New(failure.KindCancelled, codeCallerLeft, "the caller closed the connection"))
	})
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	closedAt := time.Now()
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), codeCallerLeft)
	require.Less(t, (<-ended).Sub(closedAt), 500*time.Millisecond)
}

// Files and forwarded answers are written without a look at the caller's sending half: a half-closed
// caller gets them whole.
func TestHalfClosedCallerGetsWholeBody(t *testing.T) {
	const parts = 10
	address := serveCalls(t, time.Second, func(c *caller) {
		c.streamBody(func(output *bufio.Writer) error {
			for number := range parts {
				time.Sleep(50 * time.Millisecond)
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
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), fmt.Sprintf("part %d\n", parts-1))
}

// silentEngine begins an answer, falls silent and goes on.
type silentEngine struct{ silence time.Duration }

// ServeHTTP implements http.Handler.
func (e *silentEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	generate := engine.GenerateRequest{}
	if request.Method != http.MethodPost || json.NewDecoder(request.Body).Decode(&generate) != nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	event(writer, engine.Event{AttemptID: generate.AttemptID, Token: "x"})
	time.Sleep(e.silence)
	event(writer, engine.Event{AttemptID: generate.AttemptID, Index: 1, Token: "y"})
	event(writer, engine.Event{AttemptID: generate.AttemptID, End: true, Count: 2})
}

// Guards against answers that are ended because their engine is silent for a second or two.
func TestAnswerOutlivesSilenceOfEngine(t *testing.T) {
	for _, isRepeatable := range []bool{true, false} {
		gateway := newTestGateway(t, &scriptedEngine{})
		gateway.Engines = engine.NewClient(5 * time.Second) // as in the daemon
		address := serveEngine(t, &silentEngine{silence: 1800 * time.Millisecond})
		for _, name := range []string{"e1", "e2", "e3", "dead"} {
			gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Address: address, Service: testService}.Encode()})
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		answered := gateway.newGeneration(newTestRequest(isRepeatable), nil)
		require.NoError(t, drain(ctx, answered))
		require.Equal(t, []string{"x", "y"}, answered.tokens)
		require.Equal(t, 1, answered.attempt)
		cancel()
	}
}
