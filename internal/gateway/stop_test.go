package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/stopping"
)

// Guards against requests that are sent to an engine though the daemon stops before they can end.
func TestLateRequestIsNotSentWhileTheGatewayStops(t *testing.T) {
	const grace, usual = 90 * time.Second, 10 * time.Second
	for name, played := range map[string]struct {
		left  time.Duration
		sends int
	}{"time suffices": {time.Minute, 1}, "time does not suffice": {5 * time.Second, 0}} {
		for _, isPlain := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				scripted := &scriptedEngine{script: []behaviour{answers}}
				gateway := newTestGateway(t, scripted)
				gateway.stop, gateway.durations = stopping.New(), stopping.NewDurations()
				request := newTestRequest(true)
				for range 100 {
					gateway.durations.Observe(request.service, usual)
				}
				gateway.BeginStop(stopping.Plan{Began: time.Now().Add(played.left - grace), Grace: grace})
				source := gateway.newGeneration(request, nil)
				defer source.close()
				var err error
				if isPlain {
					_, err = source.call(t.Context(), engine.CallRequest{Method: "POST", Path: "/x"})
				} else {
					err = drain(t.Context(), source)
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
