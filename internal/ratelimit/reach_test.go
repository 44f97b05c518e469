package ratelimit

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"topazpulley/internal/peer"
)

// maxTogether is what a coordinator and its replacements on the other side of a partition may
// grant together, in shards. The maximum is reached with nearly a quarter on the coordinator's
// side.
const maxTogether = 1.01

// TestPartitionSidesGrantAtMostOneShard fails if the coordinator on one side of a detected
// partition and a backup or all own shares on the other grant more than a shard.
func TestPartitionSidesGrantAtMostOneShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		side := rapid.Float64Range(0.01, 0.99).Draw(t, "coordinator side")
		backup := backupShare * grantedShare(1-side)
		own := ownShareRate * (1 - side)
		require.LessOrEqual(t, grantedShare(side)+max(backup, own), maxTogether+1e-9)
		require.LessOrEqual(t, grantedShare(side), 1.0)
	})
}

// TestMissingDaemonsStayUnreachedForGracePeriod fails if a daemon that is seen again counts as
// reaching this one while it may still treat this one as silent.
func TestMissingDaemonsStayUnreachedForGracePeriod(t *testing.T) {
	now := time.Unix(1000, 0)
	all := []Daemon{{Name: "a"}, {Name: "b"}}
	reaching := newReachability()
	reaching.recordMissing(nil, now)
	require.Equal(t, 0, reaching.notReaching(all, now))
	reaching.recordMissing(all[:1], now)
	require.Equal(t, 1, reaching.notReaching(all, now))
	reaching.recordMissing(nil, now.Add(missingGrace-1))
	require.Equal(t, 1, reaching.notReaching(all, now.Add(missingGrace-1)))
	reaching.recordMissing(nil, now.Add(missingGrace))
	require.Equal(t, 0, reaching.notReaching(all, now.Add(missingGrace)))
	require.Empty(t, reaching.missingAt)
}

// TestMissingDaemonsKeepTheirRank fails if missing daemons that have not ended are forgotten
// before maxMissing, those that have ended before missingRetention, or those that left are kept.
func TestMissingDaemonsKeepTheirRank(t *testing.T) {
	start := time.Unix(1000, 0)
	silent, ended := Daemon{Name: "b", Address: "b"}, Daemon{Name: "c", Address: "c"}
	all := []Daemon{{Name: "a", Address: "a"}, silent, ended, {Name: "d", Address: "d"}}
	hasLeft := func(name string) bool { return name == "d" }
	recent := recentDaemons{}
	require.Empty(t, recent.missing(all, hasLeft, start))
	// A daemon is missing from the first call at which it isn't live.
	now := start.Add(2 * maxMissing)
	require.ElementsMatch(t, []Daemon{silent, ended}, recent.missing(all[:1], hasLeft, now))
	recent.recordEnded(ended)
	require.ElementsMatch(t, []Daemon{silent, ended}, recent.missing(all[:1], hasLeft, now.Add(missingRetention-time.Millisecond)))
	require.Equal(t, []Daemon{silent}, recent.missing(all[:1], hasLeft, now.Add(missingRetention)))
	require.Equal(t, []Daemon{silent}, recent.missing(all[:1], hasLeft, now.Add(maxMissing-time.Millisecond)))
	require.Empty(t, recent.missing(all[:1], hasLeft, now.Add(maxMissing)))
}

// TestNewProcessEndsMissingTime fails if an earlier process's refusal counts against a later one,
// or a daemon keeps its rank whose address another one has taken over.
func TestNewProcessEndsMissingTime(t *testing.T) {
	now := time.Unix(1000, 0)
	self, other := Daemon{Name: "a", Address: "a"}, Daemon{Name: "b", Address: "b"}
	hasLeft := func(string) bool { return false }
	recent := recentDaemons{}
	recent.missing([]Daemon{self, other}, hasLeft, now)
	recent.missing([]Daemon{self}, hasLeft, now)
	recent.recordEnded(other)
	recent.missing([]Daemon{self, other}, hasLeft, now)
	recent.recordEnded(other) // a late result
	require.Equal(t, []Daemon{other}, recent.missing([]Daemon{self}, hasLeft, now.Add(time.Second)))
	require.Equal(t, []Daemon{other}, recent.missing([]Daemon{self}, hasLeft, now.Add(time.Second+missingRetention)))
	replacement := Daemon{Name: "c", Address: "b"}
	require.Empty(t, recent.missing([]Daemon{self, replacement}, hasLeft, now.Add(2*missingRetention)))
}

// TestOnlyRefusingDaemonsHaveEnded fails if a daemon that does not answer is taken for ended, one
// that refuses connections is not, or not all missing daemons are probed in turn.
func TestOnlyRefusingDaemonsHaveEnded(t *testing.T) {
	open, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer open.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, closed.Close())
	since := time.Now().Add(-probeAfter)
	recent := recentDaemons{}
	const rounds = 4
	for index := range rounds*probesPerRound - 1 {
		name := fmt.Sprintf("silent %d", index)
		recent[name] = recentDaemon{daemon: Daemon{Name: name, Address: open.Addr().String()}, missingSince: since}
	}
	recent["ended"] = recentDaemon{daemon: Daemon{Name: "ended", Address: closed.Addr().String()}, missingSince: since}
	recent["suspected"] = recentDaemon{daemon: Daemon{Name: "suspected", Address: closed.Addr().String()}, missingSince: time.Now().Add(time.Hour)}
	recent["live"] = recentDaemon{daemon: Daemon{Name: "live", Address: closed.Addr().String()}}
	fleet := &ClusterFleet{transport: peer.NewTransport("self", "127.0.0.1:0", nil, discardLog), log: discardLog, recent: recent}
	for range rounds {
		fleet.probeRound(t.Context())
	}
	for name, each := range recent {
		require.Equal(t, name == "ended", each.hasEnded, name)
		isDue := name != "suspected" && name != "live"
		require.Equal(t, isDue, !each.probedAt.IsZero(), name)
	}
}

// TestMissingCoordinatorsStayRanked fails if the sides of a partition rank daemons differently
// from the whole fleet.
func TestMissingCoordinatorsStayRanked(t *testing.T) {
	view := View{IsKnown: true}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		view.Daemons = append(view.Daemons, Daemon{Name: name, Address: name})
	}
	full := newRankings(isolatedFleet{view: view}).forTenant("t", time.Unix(1000, 0))
	for split := 1; split < len(view.Daemons); split++ {
		side := View{Daemons: view.Daemons[:split], Missing: view.Daemons[split:], IsKnown: true}
		ordered := newRankings(isolatedFleet{view: side}).forTenant("t", time.Unix(1000, 0))
		require.Equal(t, full.daemons, ordered.daemons)
		require.Equal(t, full.fleet, ordered.fleet)
	}
}

// TestOwnSharesStartReduced fails if own shares are full before coordinators on the other side
// of a partition have detected it.
func TestOwnSharesStartReduced(t *testing.T) {
	own := tolerance.ownShare(limitOf(60).Limit, 60)
	require.InDelta(t, undetectedRate*own.perSecond, own.beforeDetection(0).perSecond, 1e-9)
	require.InDelta(t, undetectedRate*own.perSecond, own.beforeDetection(detectionTime-1).perSecond, 1e-9)
	require.InDelta(t, own.perSecond, own.beforeDetection(detectionTime).perSecond, 1e-9)
}

// TestMissingDaemonsThatAskCountAsReached fails if after a partition a coordinator grants a
// reduced shard although missing daemons ask it again, or a full one after they have stopped.
func TestMissingDaemonsThatAskCountAsReached(t *testing.T) {
	now := time.Unix(1000, 0)
	view := View{Daemons: []Daemon{{Name: "a"}, {Name: "b"}, {Name: "c"}}, Missing: []Daemon{{Name: "d"}}, IsKnown: true}
	ranked := newRankings(isolatedFleet{view: view})
	changes := 0
	ranked.onChange = func(_, _ ranking) { changes++ }
	require.InDelta(t, 0.75, ranked.forTenant("t", now).granted, 1e-9)
	for range 4 {
		now = now.Add(rankingInterval)
		ranked.recordAsk("d", now)
		ranked.recordAsk("a", now)
		ranked.forTenant("t", now)
	}
	require.InDelta(t, 1.0, ranked.forTenant("t", now).granted, 1e-9)
	now = now.Add(askMemory)
	require.InDelta(t, 0.75, ranked.forTenant("t", now).granted, 1e-9)
	require.Empty(t, ranked.reachability.askedAt)
	require.Equal(t, 3, changes, "at the start, when they ask, when they do not")
}
