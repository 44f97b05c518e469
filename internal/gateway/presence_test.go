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

// waitingEngine is an engine without free capacity: it accepts attempts, does not
// answer them, and records which are cancelled.
type waitingEngine struct {
	began, cancelled chan string
	// release ends all attempts when it is closed.
	release chan struct{}
}

// ServeHTTP implements http.Handler.
func (e *waitingEngine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodDelete {
		e.cancelled <- strings.TrimPrefix(request.URL.Path, engine.PathAttempts)
		return
	}
	e.began <- ""
	<-e.release
}

// TestDisconnectBeforeAnswerCancelsAttempt checks that an attempt is cancelled at the
// engine when the caller disconnects before the answer begins.
func TestDisconnectBeforeAnswerCancelsAttempt(t *testing.T) {
	waiting := &waitingEngine{began: make(chan string, 8), cancelled: make(chan string, 8), release: make(chan struct{})}
	gateway := newTestGateway(t, &scriptedEngine{})
	address := serveEngine(t, waiting)
	t.Cleanup(func() { close(waiting.release) })
	for _, name := range []string{"e1", "e2", "e3", "dead"} {
		gateway.Registry.Apply(membership.Item{Key: registry.PrefixMachine + name, Version: 2, Payload: registry.MachineRecord{Address: address, Service: testService}.Encode()})
	}
	bounded, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	ctx, disconnect := context.WithCancelCause(bounded)
	ended := make(chan error, 1)
	go func() { ended <- drain(ctx, gateway.newGeneration(newTestRequest(true), nil)) }()
	<-waiting.began
	disconnect(callerLeftError{})
	select {
	case id := <-waiting.cancelled:
		require.Equal(t, "r-1", id)
	case <-time.After(2 * time.Second):
		require.Fail(t, "the attempt was not cancelled at the engine")
	}
	require.True(t, failure.HasCode(<-ended, codeCallerLeft))
	require.Empty(t, waiting.began, "sent again after the caller disconnected")
}
