package duty_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/duty"
)

// TestRemovedMemberMovesOnlyItsDuties: duties of other members keep their owner.
func TestRemovedMemberMovesOnlyItsDuties(t *testing.T) {
	members := []string{}
	for index := range 20 {
		members = append(members, fmt.Sprint("daemon-", index))
	}
	owned := map[string]int{}
	for key := range 1000 {
		name := fmt.Sprint("duty-", key)
		owner := duty.Owner(name, members)
		owned[owner]++
		if owner != members[0] {
			require.Equal(t, owner, duty.Owner(name, members[1:]))
		}
	}
	for _, member := range members {
		require.InDelta(t, 50, owned[member], 30)
	}
	require.Empty(t, duty.Owner("x", nil))
	require.Len(t, duty.Owners("x", members, 3), 3)
	require.Equal(t, duty.Owner("x", members), duty.Owners("x", members, 3)[0])
}
