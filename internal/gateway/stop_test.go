package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/stopping"
)

// Guards against requests that are sent to an engine though the daemon stops before they can end.
func TestLateRequestIsNotSentWhileTheGatewayStops(t *testing.T) {
	const grace = 90 * time.Second
	for name, played := range map[string]struct {
		usual, left, callerWaits time.Duration
		isReadEarly              bool
		sends                    int
	}{
		"read early, time suffices":         {10 * time.Second, time.Minute, time.Hour, true, 1},
		"read early, time doesn't suffice":  {10 * time.Second, 5 * time.Second, time.Hour, true, 0},
		"read late, others were short":      {time.Millisecond, time.Minute, time.Hour, false, 0},
		"read late, its deadline is before": {time.Hour, time.Minute, 50 * time.Second, false, 1},
	} {
		for _, isPlain := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				scripted := &scriptedEngine{script: []behaviour{answers}}
				gateway := newTestGateway(t, scripted)
				gateway.stop, gateway.durations = stopping.New(), stopping.NewDurations()
				request := newTestRequest(true)
				for range 100 {
					gateway.durations.Observe(request.service, played.usual)
				}
				plan := stopping.Plan{Began: time.Now().Add(played.left - grace), Grace: grace}
				if gateway.BeginStop(plan); played.isReadEarly {
					request.arrived = plan.Began
				}
				source := gateway.newGeneration(request, nil)
				defer source.close()
				ctx, cancel := context.WithTimeout(t.Context(), played.callerWaits)
				defer cancel()
				var err error
				if isPlain {
					_, err = source.call(ctx, engine.CallRequest{Method: "POST", Path: "/x"})
				} else {
					err = drain(ctx, source)
				}
				if played.sends > 0 {
					require.NoError(t, err)
					return
				}
				require.True(t, failure.From(err).NotRun)
				require.Equal(t, "stopping", failure.From(err).Code)
				requireCorrectNotRun(t, scripted, true, err)
			})
		}
	}
}
