package engine_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"topazpulley/internal/engine"
)

// TestUnansweredCancellationIsRetried: without a retry the engine would run the
// abandoned request to its end.
func TestUnansweredCancellationIsRetried(t *testing.T) {
	var calls atomic.Int32
	cancelled := make(chan string, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = fasthttp.Serve(listener, func(call *fasthttp.RequestCtx) {
			if calls.Add(1) <= 2 {
				call.HijackSetNoResponse(true)
				call.Hijack(func(net.Conn) {})
				return
			}
			cancelled <- string(call.Method()) + " " + string(call.Path())
		})
	}()
	require.True(t, engine.NewClient(time.Second).Cancel(listener.Addr().String(), "mine"))
	require.Equal(t, "DELETE "+engine.PathAttempts+"mine", <-cancelled)
	require.Empty(t, cancelled)
	require.EqualValues(t, 3, calls.Load())
}

// TestCancellationOfEndedAttemptFails: Cancel returns false, without a retry, if the
// engine does not know the attempt, and false if the engine has exited.
func TestCancellationOfEndedAttemptFails(t *testing.T) {
	var calls atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		_ = fasthttp.Serve(listener, func(call *fasthttp.RequestCtx) {
			calls.Add(1)
			call.SetStatusCode(fasthttp.StatusNotFound)
		})
	}()
	address := listener.Addr().String()
	require.False(t, engine.NewClient(time.Second).Cancel(address, "mine"))
	require.EqualValues(t, 1, calls.Load())
	require.NoError(t, listener.Close())
	require.False(t, engine.NewClient(time.Second).Cancel(address, "mine"))
}
