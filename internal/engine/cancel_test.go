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

// TestCancellationIsPursued: a cancellation that got no answer was given up, and the
// engine ran the request to its end for nobody.
func TestCancellationIsPursued(t *testing.T) {
	var asked atomic.Int32
	cancelled := make(chan string, 8)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		_ = fasthttp.Serve(listener, func(call *fasthttp.RequestCtx) {
			if asked.Add(1) <= 2 {
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
	require.EqualValues(t, 3, asked.Load())
}

// TestCancellationOfWhatIsGoneEnds: an engine that does not know the attempt has
// answered, and one that has ended has nothing to stop.
func TestCancellationOfWhatIsGoneEnds(t *testing.T) {
	var asked atomic.Int32
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		_ = fasthttp.Serve(listener, func(call *fasthttp.RequestCtx) {
			asked.Add(1)
			call.SetStatusCode(fasthttp.StatusNotFound)
		})
	}()
	address := listener.Addr().String()
	require.False(t, engine.NewClient(time.Second).Cancel(address, "mine"))
	require.EqualValues(t, 1, asked.Load())
	require.NoError(t, listener.Close())
	require.False(t, engine.NewClient(time.Second).Cancel(address, "mine"))
}
