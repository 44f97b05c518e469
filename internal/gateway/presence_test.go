package gateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/registry"
)

// waitingEngine has no room: it answers an attempt when that is cancelled.
type waitingEngine struct {
	began, cancelled chan string
	// ended lets go of all attempts.
	ended chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *waitingEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodDelete {
		e.cancelled <- strings.TrimPrefix(request.URL.Path, engine.PathAttempts)
		return
	}
	e.began <- ""
	<-e.ended
}

// TestCallerThatLeavesBeforeTheAnswerEndsTheAttempt: an attempt whose answer had not
// begun was left at the engine until the request's deadline.
func TestCallerThatLeavesBeforeTheAnswerEndsTheAttempt(t *testing.T) {
	waiting := &waitingEngine{began: make(chan string, 8), cancelled: make(chan string, 8), ended: make(chan struct{})}
	gateway := newPromiseGateway(t, &scriptedEngine{})
	address := serveEngine(t, waiting)
	t.Cleanup(func() { close(waiting.ended) })
	for _, name := range []string{"e1", "e2", "e3", "dead"} {
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Address: address, Service: testService}.Encode()})
	}
	bounded, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	ctx, leave := context.WithCancelCause(bounded)
	ended := make(chan error, 1)
	go func() { ended <- drain(ctx, gateway.newGeneration(promiseRequest(true), nil)) }()
	<-waiting.began
	leave(callerLeftError{})
	select {
	case id := <-waiting.cancelled:
		require.Equal(t, "r-1", id)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the attempt was left at the engine")
	}
	require.True(t, failure.HasCode(<-ended, codeCallerLeft))
	require.Empty(t, waiting.began, "sent again for nobody")
}
