package serving_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/serving"
)

// connections is a Connector with a fixed set of backends to which no request can be sent.
type connections struct{ exhausted map[backend.Incarnation]bool }

func (c *connections) Connected() map[backend.Incarnation]bool { return nil }

func (c *connections) Exhausted(int) map[backend.Incarnation]bool { return c.exhausted }

func newConnectedCore(exhausted ...string) (*serving.Core, *script) {
	sender := &script{ran: map[string]bool{}, lastSeen: &recorder{}}
	core := newGuardedCore(sender, newGuard(), 4)
	known := &connections{exhausted: map[backend.Incarnation]bool{}}
	for _, id := range exhausted {
		known.exhausted[backend.Incarnation{ID: id}] = true
	}
	core.Connector = known
	return core, sender
}

// Guards against requests for a backend to which all connections are in use, while another has a
// free one.
func TestBackendWithoutConnectionIsNotChosen(t *testing.T) {
	core, sender := newConnectedCore("b00", "b01", "b02")
	for number := range 20 {
		core.Serve(t.Context(), safeRequest(fmt.Sprint("r", number), "/a"), &recorder{})
	}
	require.Equal(t, 20, sender.sends)
	require.Equal(t, map[string]bool{"b03": true}, sender.backends)
}

// Guards against requests that wait until their deadline although all connections are in use.
func TestRequestWithoutConnectionIsRefusedEarly(t *testing.T) {
	core, sender := newConnectedCore("b00", "b01", "b02", "b03")
	caller := &recorder{}
	request := safeRequest("r", "/a")
	started := time.Now()
	core.Serve(t.Context(), request, caller)
	require.Zero(t, sender.sends)
	require.Len(t, caller.refusals, 1)
	require.Equal(t, serving.VerdictNotRun, caller.refusals[0].Verdict)
	require.Equal(t, string(serving.ReasonNoConnection), caller.refusals[0].Code)
	require.Less(t, time.Since(started), request.Route.Objective)
}

// Guards against requests for a backend that has ended, while the others have connections that
// become free, and against intake that takes it for one with a free connection.
func TestEndedBackendIsNoFreeConnection(t *testing.T) {
	core, sender := newConnectedCore("b00", "b01", "b02")
	core.Backends.Unreachable(backend.Incarnation{ID: "b03"}, time.Now())
	core.Fleet = func() int { return 2 }
	core.Backends.SetPeerLoads("peer", map[string]backend.PeerLoad{"b00": {Online: 1}}, 0)
	core.Serve(t.Context(), safeRequest("r", "/a"), &recorder{})
	require.Zero(t, sender.sends)
	require.False(t, core.IntakeLoad(0).Services[0].HasConnection)
}

// Guards against intake that does not see that this daemon has no connection left.
func TestIntakeLoadShowsMissingConnections(t *testing.T) {
	core, _ := newConnectedCore("b00", "b01", "b02", "b03")
	core.Serve(t.Context(), safeRequest("r", "/a"), &recorder{})
	require.False(t, core.IntakeLoad(0).HasPeers, "it is alone")
	core.Fleet = func() int { return 3 }
	core.Backends.SetPeerLoads("peer", map[string]backend.PeerLoad{"b00": {Online: 3, Batch: 1}}, 0)
	load := core.IntakeLoad(0)
	require.True(t, load.HasPeers)
	require.Len(t, load.Services, 1)
	require.False(t, load.Services[0].HasConnection)
	require.InDelta(t, 2.0, load.Services[0].Others, 0)
	require.InDelta(t, 1.0, load.Services[0].Share, 0)
}
