package serving_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/backend"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/telemetry"
)

// versionedScript is a script that records the software versions whose events its caller gets.
type versionedScript struct {
	*script
	seen map[string]bool
}

func (s *versionedScript) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	answer, err := s.script.Send(ctx, attempt)
	if err != nil {
		return nil, err
	}
	return &versionedAnswer{Answer: answer, script: s, version: attempt.Instance.Version}, nil
}

type versionedAnswer struct {
	serving.Answer
	script  *versionedScript
	version string
}

func (a *versionedAnswer) Next() (serving.Event, serving.Ending, error) {
	event, ending, err := a.Answer.Next()
	if err == nil && ending == serving.EndingNone && event.ID == a.script.lastSeen.last+1 {
		a.script.seen[a.version] = true
	}
	return event, ending, err
}

// newVersionedCore returns a core with backends of these software versions.
func newVersionedCore(sender serving.Sender, versions ...string) *serving.Core {
	backends := backend.NewSet()
	for index, version := range versions {
		backends.Put(backend.Instance{ID: fmt.Sprint("b", index), Version: version, Service: "s", Slots: 4})
	}
	metrics := telemetry.NewServing(prometheus.NewRegistry())
	return serving.NewCore(backends, sender, &route.Holder{}, metrics, slog.New(slog.DiscardHandler), func() int { return 1 })
}

var resumableRoute = &route.Route{
	Kind: route.KindStream, Resumable: true, Timeout: time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 3,
	Targets: []route.Target{{Service: "s", Weight: 1}},
}

// serveStream serves one stream, resumed after an event if that is above 0.
func serveStream(core *serving.Core, caller serving.Responder, lastEvent int64) {
	now := time.Now()
	core.Serve(context.Background(), serving.Request{ID: "r", Route: resumableRoute, Service: "s", LastEvent: lastEvent, Arrived: now, Deadline: now.Add(time.Second)}, caller)
}

func TestAnswerJoinsNoSoftwareVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) behaviour {
			return behaviour(rapid.IntRange(0, int(behaviourCount)-1).Draw(t, "behaviour"))
		}), 0, 6).Draw(t, "draw")
		versions := rapid.SliceOfN(rapid.SampledFrom([]string{"v1", "v1.1", "v1.2", ""}), 1, 6).Draw(t, "versions")
		caller := &recorder{}
		sender := &versionedScript{script: &script{draw: draw, ran: map[string]bool{}, lastSeen: caller}, seen: map[string]bool{}}
		serveStream(newVersionedCore(sender, versions...), caller, 0)
		require.LessOrEqual(t, len(sender.seen), 1)
		require.Empty(t, sender.problems)
		require.Equal(t, 1, caller.finished+caller.aborted+caller.complete+len(caller.refusals), "one final answer")
	})
}

func TestStreamEndsAtOnceWithoutItsSoftwareVersion(t *testing.T) {
	caller := &recorder{}
	sender := &versionedScript{script: &script{draw: []behaviour{breaksInBody}, ran: map[string]bool{}, lastSeen: caller}, seen: map[string]bool{}}
	core := newVersionedCore(sender, "v1", "v2")
	core.Sender = &removingSender{versionedScript: sender, backends: core.Backends}
	started := time.Now()
	serveStream(core, caller, 0)
	require.Equal(t, 1, caller.aborted)
	require.Len(t, sender.seen, 1)
	require.Less(t, time.Since(started), 900*time.Millisecond, "the route allows a second")
}

// Guards against a stream that ends although its only back end of the version serves again.
func TestStreamWaitsForItsSoftwareVersion(t *testing.T) {
	caller := &recorder{}
	sender := &versionedScript{script: &script{draw: []behaviour{breaksInBody, refuses, refuses}, ran: map[string]bool{}, lastSeen: caller}, seen: map[string]bool{}}
	serveStream(newVersionedCore(sender, "v1", "v2"), caller, 0)
	require.Equal(t, completeText(), caller.text.String())
	require.Len(t, sender.seen, 1)
}

// removingSender removes each backend that was sent a request.
type removingSender struct {
	*versionedScript
	backends *backend.Set
}

func (s *removingSender) Send(ctx context.Context, attempt serving.Attempt) (serving.Answer, error) {
	answer, err := s.versionedScript.Send(ctx, attempt)
	s.backends.Remove(attempt.Instance.ID)
	return answer, err
}

func TestResumptionWithoutCertainOriginIsRefused(t *testing.T) {
	cases := map[string]struct {
		versions []string
		isServed bool
	}{
		"one version":                 {[]string{"v1", "v1"}, true},
		"several versions":            {[]string{"v1", "v2"}, false},
		"an unknown version":          {[]string{""}, false},
		"a version beside an unknown": {[]string{"v1", ""}, false},
	}
	for name, each := range cases {
		caller := &recorder{last: 2}
		sender := &script{ran: map[string]bool{}, lastSeen: caller}
		serveStream(newVersionedCore(sender, each.versions...), caller, 2)
		require.Equal(t, each.isServed, caller.finished == 1, name)
		if !each.isServed {
			require.Len(t, caller.refusals, 1, name)
			require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict, name)
			require.Zero(t, sender.sends, name)
		}
	}
}
