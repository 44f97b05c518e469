package exchange

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
)

// TestMessagesNameLives: loads, reads and failures come as they were told.
func TestMessagesNameLives(t *testing.T) {
	work := loads{inFlight: map[string]backend.PeerLoad{"one": {StartMillis: 1_764_728_000_123, Online: 2, Batch: 1, PendingTokens: 7}, "two": {Online: 1}}, waiting: 3}
	told := news{
		reads:    []backend.PromptRead{{Incarnation: backend.Incarnation{ID: "one", StartMillis: 5}, Part: "p"}},
		failures: map[backend.Incarnation]int{{ID: "one", StartMillis: 5}: 2, {ID: "one", StartMillis: 6}: 1, {ID: "two"}: 1},
	}
	payload, err := encode(work, told)
	require.NoError(t, err)
	gotWork, gotTold, err := decode(payload)
	require.NoError(t, err)
	require.Equal(t, work, gotWork)
	require.Equal(t, told, gotTold)
}

// TestRelayTellsTheLatestLife: what daemons that lie behind have at the life before is
// not added to the work at the present one, nor taken from it.
func TestRelayTellsTheLatestLife(t *testing.T) {
	at := func(born int64, online int) loads {
		return loads{inFlight: map[string]backend.PeerLoad{"one": {StartMillis: born, Online: online}}}
	}
	gathered, now := newRelay(), time.Now()
	gathered.noteMember("behind", at(1, 5), news{}, now)
	gathered.noteMember("a", at(2, 3), news{}, now)
	gathered.noteZone("far", at(2, 4), news{}, now)
	total := gathered.fleetTotal()
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 7}, total.inFlight["one"])
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 4}, gathered.othersOf("a", total).inFlight["one"])
	require.Equal(t, backend.PeerLoad{StartMillis: 2, Online: 7}, gathered.othersOf("behind", total).inFlight["one"])
}
