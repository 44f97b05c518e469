package serving_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/serving"
)

// connectingSender lets the first chosen backend leave while it connects there.
type connectingSender struct {
	script
	backends *backend.Set
	left     string
	reached  []string
}

func (s *connectingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	if s.left == "" {
		s.left = attempt.Instance.ID
		s.backends.Put(backend.Instance{ID: s.left, Version: "v1", Service: "s", Slots: 4, Draining: true})
	}
	if err := attempt.CheckSendable(ctx); err != nil {
		return nil, err
	}
	s.reached = append(s.reached, attempt.Instance.ID)
	return s.script.Send(ctx, attempt)
}

// Guards against a request that was chosen in time and is sent to a backend that left while a connection was
// made.
func TestBackendThatLeftWhileConnectingGetsNothing(t *testing.T) {
	sender := &connectingSender{}
	sender.ran, sender.lastSeen = map[string]bool{}, &recorder{}
	core := newGuardedCore(sender, newGuard(), 2)
	sender.backends = core.Backends
	caller := &recorder{}
	core.Serve(t.Context(), safeRequest("r", "/left"), caller)
	require.NotEmpty(t, sender.left)
	require.Len(t, sender.reached, 1)
	require.NotContains(t, sender.reached, sender.left)
}
