package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
)

// TestMessagesCarryIncarnations: loads, reads and failures keep their incarnations.
func TestMessagesCarryIncarnations(t *testing.T) {
	loads := loadSet{inFlight: map[string]backend.PeerLoad{"one": {StartMillis: 1_764_728_000_123, Online: 2, Batch: 1, PendingTokens: 7}, "two": {Online: 1}}, waiting: 3}
	events := eventSet{
		reads:    []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one", StartMillis: 5}, Part: "p"}},
		failures: map[backend.Incarnation]int{{ID: "one", StartMillis: 5}: 2, {ID: "one", StartMillis: 6}: 1, {ID: "two"}: 1},
	}
	payload, err := encode(loads, events)
	require.NoError(t, err)
	gotLoads, gotEvents, err := decode(payload)
	require.NoError(t, err)
	require.Equal(t, loads, gotLoads)
	require.Equal(t, events, gotEvents)
}

// TestRelayIgnoresEarlierIncarnations: loads at an earlier incarnation of a backend are
// neither added to the loads at the latest one nor subtracted from them.
func TestRelayIgnoresEarlierIncarnations(t *testing.T) {
	at := func(startMillis int64, online int) loadSet {
		return loadSet{inFlight: map[string]backend.PeerLoad{"one": {StartMillis: startMillis, Online: online}}}
	}
	collected, now := newRelay(), time.Now()
	collected.setMember("behind", at(1, 5), eventSet{}, now)
	collected.setMember("a", at(2, 3), eventSet{}, now)
	collected.setZone("far", at(2, 4), eventSet{}, now)
	total := collected.fleetTotal()
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 7}, total.inFlight["one"])
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 4}, collected.othersOf("a", total).inFlight["one"])
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 7}, collected.othersOf("behind", total).inFlight["one"])
}
