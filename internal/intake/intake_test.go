package intake

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// full is the load of a daemon without free connections, beside others that have some.
func full() Load {
	return Load{HasPeers: true, Services: []ServiceLoad{
		{Share: 0.8, Own: 16, Others: 6}, {Share: 0.2, HasConnection: true, Own: 2, Others: 1},
	}}
}

// Guards against connections closed unread though no other daemon could serve them better.
func TestFullOnlyIfOthersHaveRoom(t *testing.T) {
	for name, played := range map[string]struct {
		change func(*Load)
		want   Reason
	}{
		"full":                     {func(*Load) {}, ReasonNoConnection},
		"alone":                    {func(l *Load) { l.HasPeers = false }, ""},
		"others as full":           {func(l *Load) { l.Services[0].Others = 15 }, ""},
		"free connection":          {func(l *Load) { l.Services[0].HasConnection = true }, ""},
		"few go there":             {func(l *Load) { l.Services[0].Share, l.Services[1].Share = 0.1, 0.9 }, ""},
		"no load known":            {func(l *Load) { l.Services = nil }, ""},
		"slow beside idle others":  {func(l *Load) { l.Services[0].HasConnection = true; l.StartDelay = LongDelay }, ReasonProcessor},
		"slow beside busy others":  {func(l *Load) { l.Services[0].HasConnection = true; l.Services[0].Others = 12; l.StartDelay = LongDelay }, ""},
		"delays as on a calm day":  {func(l *Load) { l.Services[0].HasConnection = true; l.StartDelay = LongDelay / 4 }, ""},
		"slow, but all are unused": {func(l *Load) { l.Services = nil; l.StartDelay = time.Second }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			load := full()
			played.change(&load)
			require.Equal(t, played.want, load.Full())
		})
	}
}

// Guards against a daemon that says it is ready and takes no connection for long.
func TestSomeConnectionsAreAlwaysTaken(t *testing.T) {
	gate, taken := NewGate(func(time.Duration) Load { return full() }), 0
	for at := time.Duration(0); at < 3*time.Second; at += time.Millisecond {
		if gate.Refuses(testStart.Add(at)) == "" {
			taken++
		}
	}
	require.Equal(t, 30, taken)
}

// Guards against a daemon that stays closed after its load has passed.
func TestDelayIsForgotten(t *testing.T) {
	load := full()
	load.Services[0].HasConnection = true
	gate := NewGate(func(delay time.Duration) Load { load.StartDelay = delay; return load })
	for range 20 {
		gate.ObserveDelay(time.Second)
	}
	require.Empty(t, gate.Refuses(testStart), "the first one is taken")
	require.Equal(t, ReasonProcessor, gate.Refuses(testStart.Add(time.Millisecond)))
	for range 20 {
		gate.ObserveDelay(0)
	}
	require.Empty(t, gate.Refuses(testStart.Add(loadTime)))
}

func TestMixForgetsOldRequests(t *testing.T) {
	mix := NewMix()
	for range 3 {
		mix.Count("a", testStart)
	}
	mix.Count("b", testStart.Add(mixTime))
	require.Equal(t, map[string]float64{"a": 0.75, "b": 0.25}, mix.Shares(testStart.Add(mixTime)))
	require.Equal(t, map[string]float64{"b": 1}, mix.Shares(testStart.Add(2*mixTime)))
	require.Empty(t, mix.Shares(testStart.Add(5*mixTime)))
}
