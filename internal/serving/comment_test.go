package serving_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// commentingSender is a sender whose streams have a comment before each event.
type commentingSender struct{ *script }

func (s commentingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	answer, err := s.script.Send(ctx, attempt)
	if err != nil {
		return nil, err
	}
	return &commentingAnswer{Answer: answer}, nil
}

type commentingAnswer struct {
	serving.Answer
	hasCommented bool
}

func (a *commentingAnswer) Next() (serving.Event, serving.Ending, error) {
	a.hasCommented = !a.hasCommented
	if a.hasCommented {
		return serving.Event{Raw: []byte(": ")}, serving.EndingNone, nil
	}
	return a.Answer.Next()
}

// Guards against a begun stream that is broken off because of a comment between two events.
func TestCommentBetweenEventsBreaksNothing(t *testing.T) {
	policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
	caller := &recorder{}
	core := newCore(commentingSender{script: &script{ran: map[string]bool{}, lastSeen: caller}})
	now := time.Now()
	core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Arrived: now, Deadline: now.Add(time.Minute)}, caller)
	require.Equal(t, 1, caller.finished)
	require.Equal(t, ": 1;: 2;: 3;: 4;: 5;: 6;: ", caller.text.String())
}
