package ratelimit

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// aPartAndABit is what a keeper and those who replace it behind a cut may grant together:
// at the worst cut, nearly a quarter with the keeper, own shares pass it by so much.
const aPartAndABit = 1.01

// TestSidesOfACutGrantNoMoreThanAPart: a part's keeper on one side of a cut that both
// have noticed, and on the other side who stands in for it, or else all the own shares.
func TestSidesOfACutGrantNoMoreThanAPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		side := rapid.Float64Range(0.01, 0.99).Draw(t, "side of the keeper")
		standIn := standInShare * grantedBy(1-side)
		own := aloneRate * (1 - side)
		require.LessOrEqual(t, grantedBy(side)+max(standIn, own), aPartAndABit+1e-9)
		require.LessOrEqual(t, grantedBy(side), 1.0)
	})
}

// TestMissedDaemonsCountAWhileLonger: a daemon that sees another again goes by what it
// saw until the other has ceased to pass it by.
func TestMissedDaemonsCountAWhileLonger(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Daemon{{Name: "a"}, {Name: "b"}}
	held := newReached()
	held.miss(nil, now)
	require.Equal(t, 0, held.without(all, now))
	held.miss(all[:1], now)
	require.Equal(t, 1, held.without(all, now))
	held.miss(nil, now.Add(missedMemory-1))
	require.Equal(t, 1, held.without(all, now.Add(missedMemory-1)))
	held.miss(nil, now.Add(missedMemory))
	require.Equal(t, 0, held.without(all, now.Add(missedMemory)))
	require.Empty(t, held.missedAt)
}

// TestMissedDaemonsKeepTheirPlaces for missingTime, and those that left do not.
func TestMissedDaemonsKeepTheirPlaces(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Daemon{{Name: "a"}, {Name: "b"}, {Name: "c"}}
	hasLeft := func(name string) bool { return name == "c" }
	held := sightings{}
	require.Empty(t, held.missed(all, hasLeft, now))
	// Nobody looked for longer than missingTime: a daemon is missed from the first look
	// on at which it is not seen.
	now = now.Add(2 * missingTime)
	require.Equal(t, []Daemon{{Name: "b"}}, held.missed(all[:1], hasLeft, now))
	require.Equal(t, []Daemon{{Name: "b"}}, held.missed(all[:1], hasLeft, now.Add(missingTime-time.Millisecond)))
	require.Empty(t, held.missed(all[:1], hasLeft, now.Add(missingTime)))
}

// TestKeepersStayWhileTheyAreMissed: the order of daemons for a tenant is that of the
// whole fleet on both sides of a cut.
func TestKeepersStayWhileTheyAreMissed(t *testing.T) {
	view := View{IsKnown: true}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		view.Daemons = append(view.Daemons, Daemon{Name: name, Address: name})
	}
	whole := newRankings(loneFleet{view: view}).of("t", time.Unix(1000, 0))
	for split := 1; split < len(view.Daemons); split++ {
		side := View{Daemons: view.Daemons[:split], Missing: view.Daemons[split:], IsKnown: true}
		ordered := newRankings(loneFleet{view: side}).of("t", time.Unix(1000, 0))
		require.Equal(t, whole.daemons, ordered.daemons)
		require.Equal(t, whole.fleet, ordered.fleet)
	}
}

// TestOwnSharesBeginSmall: keepers behind a cut may not have noticed it yet.
func TestOwnSharesBeginSmall(t *testing.T) {
	own := tolerance.alone(limitOf(60).Limit, 60)
	require.InDelta(t, unnoticedRate*own.perSecond, own.unnoticed(0).perSecond, 1e-9)
	require.InDelta(t, unnoticedRate*own.perSecond, own.unnoticed(noticeTime-1).perSecond, 1e-9)
	require.InDelta(t, own.perSecond, own.unnoticed(noticeTime).perSecond, 1e-9)
}

// TestMissedDaemonsThatAskAreReached: behind the end of a cut a keeper grants the whole
// part to a fleet that asks it again, whatever the membership still believes, and not to
// one that has ceased to.
func TestMissedDaemonsThatAskAreReached(t *testing.T) {
	now := time.Unix(1000, 0)
	view := View{Daemons: []Daemon{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Missing: []Daemon{{Name: "d"}}, IsKnown: true}
	held := newRankings(loneFleet{view: view})
	changes := 0
	held.changed = func(_, _ ranking) { changes++ }
	require.InDelta(t, 0.75, held.of("t", now).reach, 1e-9)
	for range 4 {
		now = now.Add(rankingAge)
		held.heard("d", now)
		held.heard("a", now)
		held.of("t", now)
	}
	require.InDelta(t, 1.0, held.of("t", now).reach, 1e-9)
	now = now.Add(heardMemory)
	require.InDelta(t, 0.75, held.of("t", now).reach, 1e-9)
	require.Empty(t, held.reached.heardAt)
	require.Equal(t, 3, changes, "at the start, when they ask, when they do not")
}
