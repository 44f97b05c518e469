package serving_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/route"
	"topazpulley/internal/serving"
)

// onceReservedSender grants one reservation, refuses the request that is sent with it, and reaches no
// backend after that.
type onceReservedSender struct{ reservations atomic.Int64 }

func (s *onceReservedSender) Send(context.Context, serving.Attempt) (serving.Answer, error) {
	return nil, &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonRefused, Receipt: serving.Receipt{Connection: "first", Status: 503, IsNamed: true}}
}

func (s *onceReservedSender) Reserve(context.Context, serving.ReservationRequest) (string, error) {
	if s.reservations.Add(1) == 1 {
		return "reserved", nil
	}
	return "", &serving.AttemptError{Outcome: serving.OutcomeNotRun, Reason: serving.ReasonUnreachable}
}

// TestFailedReservationShowsNoEarlierReceipt guards against a line of an attempt that was not sent
// which tells the connection and the number of the attempt before it.
func TestFailedReservationShowsNoEarlierReceipt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := &route.Route{Kind: route.KindStream, Timeout: time.Minute, Objective: 300 * time.Millisecond, MaxAttempts: 1, Targets: []route.Target{{Service: "s"}}}
		core := newCore(&onceReservedSender{})
		log := &strings.Builder{}
		core.Logger = slog.New(slog.NewTextHandler(log, nil))
		core.Holder.Apply(withReservations(), time.Now())
		core.Serve(t.Context(), serving.Request{ID: "r", Route: policy, Service: "s", Tokens: 10, Arrived: time.Now(), Deadline: time.Now().Add(time.Second)}, &recorder{})
		failed := 0
		for line := range strings.Lines(log.String()) {
			if !strings.Contains(line, "msg=attempt_failed") {
				continue
			}
			isSent := strings.Contains(line, "reason=refused")
			require.Equal(t, isSent, strings.Contains(line, "answer.connection=first"), line)
			require.Equal(t, isSent, strings.Contains(line, "attempt=1"), line)
			failed++
		}
		require.Greater(t, failed, 1)
	})
}
