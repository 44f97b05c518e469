package frontend

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/membership"
	"topazpulley/internal/table"
)

// TestFreshPeerIsFoundBesideSilentOnes guards against a daemon that stays behind because the
// others that it asks don't answer or are behind themselves.
func TestFreshPeerIsFoundBesideSilentOnes(t *testing.T) {
	const (
		trials      = 50
		queryTime   = time.Second
		silentPeers = 6
		newest      = table.Version(9)
	)
	answers := map[string]table.PeerCopy{
		"behind":     {Version: 5, Age: 4 * time.Second},
		"old":        {Version: 7, Age: 4 * time.Second, IsNewer: true},
		"up-to-date": {Version: newest, Age: 100 * time.Millisecond, IsNewer: true},
	}
	members := []membership.Member{}
	for name := range answers {
		members = append(members, membership.Member{Name: name, Address: name})
	}
	for range silentPeers {
		members = append(members, membership.Member{Name: "silent", Address: "silent"})
	}
	ask := func(ctx context.Context, address string, _ table.Version) (table.PeerCopy, error) {
		answer, answersAtOnce := answers[address]
		if answersAtOnce {
			return answer, nil
		}
		<-ctx.Done()
		return table.PeerCopy{}, ctx.Err()
	}
	for trial := range trials {
		query := table.PeerQuery{Wanted: newest}
		if trial%2 == 0 {
			query.Wanted = 0
		}
		rand.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), queryTime)
			defer cancel()
			found, isFound := askNewest(ctx, members, query, ask)
			require.True(t, isFound)
			require.Equal(t, newest, found.Version)
			require.NoError(t, ctx.Err())
		})
	}
}

// TestPeerSuspendedBeforeItsRowsIsPassedOver guards against a query that waits for the rows of a
// daemon which answered with its state and was suspended then.
func TestPeerSuspendedBeforeItsRowsIsPassedOver(t *testing.T) {
	const queryTime = time.Second
	members := []membership.Member{{Name: "suspended", Address: "suspended"}, {Name: "other", Address: "other"}}
	ask := func(ctx context.Context, address string, after table.Version) (table.PeerCopy, error) {
		if after == withoutRows {
			return table.PeerCopy{Version: 9}, nil
		}
		if address == "suspended" {
			<-ctx.Done()
			return table.PeerCopy{}, ctx.Err()
		}
		return table.PeerCopy{Version: 9, IsNewer: true}, nil
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), queryTime)
		defer cancel()
		found, isFound := askNewest(ctx, members, table.PeerQuery{}, ask)
		require.True(t, isFound)
		require.True(t, found.IsNewer)
		require.Equal(t, "other", found.Daemon)
	})
}
