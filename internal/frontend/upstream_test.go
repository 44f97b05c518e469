package frontend

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
	"topazpulley/internal/topology"
)

const (
	testTimeout = 10 * time.Second
	pollTime    = 5 * time.Millisecond
)

var quiet = slog.New(slog.DiscardHandler)

func fleetIn(zones, each int) []membership.Member {
	members := []membership.Member{}
	for zone := range zones {
		for index := range each {
			members = append(members, membership.Member{Name: fmt.Sprintf("d-%d-%d", zone, index), Zone: fmt.Sprint("zone-", zone), State: membership.StateAlive})
		}
	}
	return members
}

// TestUpstreamsOfZone: each zone of a large fleet has its upstreams, a suspected daemon is not
// chosen, and a small fleet has none.
func TestUpstreamsOfZone(t *testing.T) {
	members := fleetIn(3, 20)
	chosen := upstreamsOf("zone-1", members, topology.FullMeshLimit)
	require.Len(t, chosen, topology.UpstreamCount(20))
	for index := range members {
		if members[index].Name == chosen[0].Name {
			members[index].State = membership.StateSuspect
		}
	}
	changed := upstreamsOf("zone-1", members, topology.FullMeshLimit)
	require.Equal(t, chosen[1].Name, changed[0].Name)
	require.Len(t, changed, topology.UpstreamCount(20))
	require.Empty(t, upstreamsOf("zone-1", fleetIn(4, 10), topology.FullMeshLimit))
}

// newCopy returns a running follower of table t of a store, with its copy.
func newCopy(t *testing.T, store table.Store) followedCopy {
	t.Helper()
	made := followedCopy{replica: &table.Replica{Consumer: discard{}}}
	made.follower = &table.Follower{Store: store, Table: "t", Consumer: made.replica, Logger: quiet, Wait: 50 * time.Millisecond}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go made.follower.Run(ctx)
	require.Eventually(t, func() bool { return made.follower.StoreAge() < upstreamAge }, testTimeout, pollTime)
	return made
}

type discard struct{}

func (discard) Replace([]table.Row, table.Version) {}
func (discard) Change([]table.Row, table.Version)  {}

func serverOf(offered followedCopy) *upstream {
	return &upstream{copies: map[string]followedCopy{"t": offered}}
}

func put(t *testing.T, store table.Store, key string) {
	t.Helper()
	_, err := store.Commit(t.Context(), table.Transaction{Writes: []table.Write{{Table: "t", Key: key, Value: []byte(key)}}})
	require.NoError(t, err)
}

// TestUpstreamServesChanges: after the first answer an upstream sends only what changed, as soon
// as it changes.
func TestUpstreamServesChanges(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "a")
	serving := serverOf(newCopy(t, store))
	first, err := serving.serve(t.Context(), "", followRequest{Table: "t"})
	require.NoError(t, err)
	require.True(t, first.IsWhole)
	require.Len(t, first.Rows, 1)
	go func() {
		time.Sleep(20 * time.Millisecond)
		put(t, store, "b")
	}()
	next, err := serving.serve(t.Context(), "", followRequest{Table: "t", After: first.Version, WaitMilliseconds: testTimeout.Milliseconds()})
	require.NoError(t, err)
	require.False(t, next.IsWhole)
	require.Len(t, next.Rows, 1)
	require.Equal(t, "b", next.Rows[0].Key)
	require.Greater(t, next.Version, first.Version)
}

// TestUpstreamWithoutStoreRefuses: an upstream whose copy becomes too old must end waiting calls
// with an error.
func TestUpstreamWithoutStoreRefuses(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "a")
	serving := serverOf(newCopy(t, store))
	store.SetDecide(func(string) tabletest.Fault { return tabletest.FaultRefuse })
	begun := time.Now()
	_, err := serving.serve(t.Context(), "", followRequest{Table: "t", After: 99, WaitMilliseconds: testTimeout.Milliseconds()})
	require.ErrorContains(t, err, "old")
	require.Less(t, time.Since(begun), testTimeout/2)
}

// TestUpstreamPausedDuringAgeReport: an upstream whose process pauses while it computes the age
// of its copy must not report too low an age, or its followers start items on stale claims.
func TestUpstreamPausedDuringAgeReport(t *testing.T) {
	const pauseTime = 500 * time.Millisecond
	store := tabletest.NewMemory()
	put(t, store, "a")
	var isPaused atomic.Bool
	offered := followedCopy{replica: &table.Replica{Consumer: discard{}}}
	offered.follower = &table.Follower{Store: store, Table: "t", Consumer: offered.replica, Logger: quiet, Wait: 50 * time.Millisecond, Clock: func() boottime.Instant {
		now := boottime.Now()
		if isPaused.Load() {
			time.Sleep(pauseTime)
		}
		return now
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); offered.follower.Run(ctx) }()
	require.Eventually(t, func() bool { return offered.follower.StoreAge() < upstreamAge }, testTimeout, pollTime)
	cancel()
	<-ended // the follower has stopped: no more confirmations
	confirmed := boottime.Now().Add(-offered.follower.StoreAge())
	isPaused.Store(true)
	called := boottime.Now()
	answer, err := serverOf(offered).serve(t.Context(), "", followRequest{Table: "t"})
	require.NoError(t, err)
	claimed := called.Add(-time.Duration(answer.AgeMilliseconds) * time.Millisecond)
	require.LessOrEqual(t, claimed.Sub(confirmed), 10*time.Millisecond, "the copy is reported to be newer than it is")
}

// freeAddress returns a loopback address that is free for TCP.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	return address
}

// startUpstream starts a peer transport that serves a copy.
func startUpstream(t *testing.T, name string, offered followedCopy) membership.Member {
	t.Helper()
	address := freeAddress(t)
	transport := peer.NewTransport(name, address, make([]byte, 32), quiet)
	peer.Handle(transport, methodFollow, serverOf(offered).serve)
	require.NoError(t, transport.Start())
	t.Cleanup(transport.Stop)
	return membership.Member{Name: name, Address: address}
}

// TestRefusingUpstreamIsSkipped: if an upstream refuses because its copy is not current, the
// next upstream is asked.
func TestRefusingUpstreamIsSkipped(t *testing.T) {
	store := tabletest.NewMemory()
	put(t, store, "a")
	stale := followedCopy{replica: &table.Replica{Consumer: discard{}}}
	stale.follower = &table.Follower{Store: store, Table: "t", Consumer: stale.replica, Logger: quiet}
	chosen := []membership.Member{
		startUpstream(t, "first", stale), startUpstream(t, "second", stale), startUpstream(t, "third", newCopy(t, store)),
	}
	caller := peer.NewTransport("caller", "127.0.0.1:0", make([]byte, 32), quiet)
	require.NoError(t, caller.Start())
	t.Cleanup(caller.Stop)
	asking := &upstream{transport: caller, self: membership.Member{Name: "caller"}, copies: map[string]followedCopy{}, failedAt: map[string]time.Time{}}
	for range 3 {
		answer, _, err := asking.askSome(t.Context(), chosen, "t", table.Section{}, 0, time.Millisecond)
		require.NoError(t, err)
		require.Len(t, answer.Rows, 1)
	}
	_, _, err := asking.askSome(t.Context(), chosen[:2], "t", table.Section{}, 0, time.Millisecond)
	require.ErrorContains(t, err, "old")
}

// TestFailedUpstreamIsAvoidedByAllTables guards against each table finding out by itself, and again
// and again, that an upstream does not answer.
func TestFailedUpstreamIsAvoidedByAllTables(t *testing.T) {
	chosen := []membership.Member{{Name: "a"}, {Name: "b"}}
	choosing := &upstream{self: membership.Member{Name: "caller"}, failedAt: map[string]time.Time{}}
	now := time.Now()
	usual := choosing.pick(chosen, now)
	for range 4 {
		choosing.recordFailure(usual.Name, now)
	}
	other := choosing.pick(chosen, now)
	require.NotEqual(t, usual.Name, other.Name)
	choosing.recordFailure(other.Name, now.Add(avoidTime/2))
	require.Equal(t, usual.Name, choosing.pick(chosen, now.Add(avoidTime/2)).Name, "the one that failed first")
	require.Equal(t, usual.Name, choosing.pick(chosen, now.Add(avoidTime)).Name, "it is tried again")
}
