package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
)

// TestLaterProcessIsDistinctFromRefutation guards against a process that started under an earlier
// clock and looks like the process before it, after a refuted suspicion.
func TestLaterProcessIsDistinctFromRefutation(t *testing.T) {
	const earlier = 3000
	now := time.Unix(1000, 0)
	core := newCore("a", now)
	core.Receive(now, gossip("x", member("a", earlier, membership.StateAlive)))
	later := core.Self().Incarnation
	require.True(t, membership.IsLaterProcess(later, earlier))
	core.Receive(now, gossip("x", member("a", later, membership.StateSuspect)))
	refuted := core.Self().Incarnation
	require.Equal(t, later+1, refuted)
	require.False(t, membership.IsLaterProcess(refuted, later))
}
