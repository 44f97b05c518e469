package frontend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/exchange"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
)

const (
	// methodFollow is the method of the peer protocol by which a daemon follows
	// another's copy of a table.
	methodFollow = "table.follow"
	// upstreamsPerZone is how many daemons of a zone follow the tables for the
	// others: when one is lost, half of the zone moves to the other.
	upstreamsPerZone = 2
	// upstreamAge is how long ago the store must have answered for a copy to be
	// told to others. With the time until a caller notices a silent upstream it
	// keeps every daemon within two seconds of the store, which is less than
	// the shortest bound on configuration and leaving back ends in fleets of
	// this size (three seconds).
	upstreamAge = 1500 * time.Millisecond
	// choiceAge is how long the choice of an upstream is used.
	choiceAge = 300 * time.Millisecond
)

// followRequest asks for the changes of a table behind a version. The answer is
// held until there are some, but no longer than the wait.
type followRequest struct {
	Table            string `avro:"table"`
	After            int64  `avro:"after"`
	WaitMilliseconds int64  `avro:"wait_milliseconds"`
}

// followAnswer is what changed, or the whole table.
type followAnswer struct {
	Version   int64 `avro:"version"`
	IsWhole   bool  `avro:"is_whole"`
	IsSettled bool  `avro:"is_settled"`
	// AgeMilliseconds is for how long, when the call came, the upstream's copy may
	// not have been the present state; negative if it was confirmed during the call.
	AgeMilliseconds int64       `avro:"age_milliseconds"`
	Rows            []rowRecord `avro:"rows"`
}

var (
	followRequestSchema = avro.MustParse(`{"type":"record","name":"follow_request","fields":[{"name":"table","type":"string"},
		{"name":"after","type":"long"},{"name":"wait_milliseconds","type":"long"}]}`)
	followAnswerSchema = avro.MustParse(`{"type":"record","name":"follow_answer","fields":[{"name":"version","type":"long"},
		{"name":"is_whole","type":"boolean"},{"name":"is_settled","type":"boolean"},{"name":"age_milliseconds","type":"long"},
		{"name":"rows","type":{"type":"array","items":` + rowRecordSchema + `}}]}`)
)

// Schema implements peer.Message.
func (followRequest) Schema() avro.Schema { return followRequestSchema }

// Schema implements peer.Message.
func (followAnswer) Schema() avro.Schema { return followAnswerSchema }

// followedCopy is a table that this daemon follows, with its copy.
type followedCopy struct {
	follower *table.Follower
	replica  *table.Replica
}

// upstream chooses the daemon of the zone that is followed in place of the
// store, and serves those that follow this one. Tables are offered before the
// transport starts. mutex guards the fields behind it.
type upstream struct {
	node      *cluster.Node
	transport *peer.Transport
	self      membership.Member
	copies    map[string]followedCopy

	mutex    sync.Mutex
	chosenAt time.Time
	// chosen are the upstreams of the zone; none in a small fleet.
	chosen []membership.Member
	// skipped counts failures, so that the next try is made at the other.
	skipped int
}

var _ table.Upstream = (*upstream)(nil)

func newUpstream(node *cluster.Node, transport *peer.Transport) *upstream {
	made := &upstream{node: node, transport: transport, self: node.Self(), copies: map[string]followedCopy{}}
	peer.Handle(transport, methodFollow, made.serve)
	return made
}

func (u *upstream) offer(name string, offered followedCopy) { u.copies[name] = offered }

// Serves implements table.Upstream.
func (u *upstream) Serves() bool { return u.isAmong(u.current(time.Now())) }

func (u *upstream) isAmong(chosen []membership.Member) bool {
	return slices.ContainsFunc(chosen, func(member membership.Member) bool { return member.Name == u.self.Name })
}

// current returns the upstreams of the zone, chosen anew now and then.
func (u *upstream) current(now time.Time) []membership.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if now.Sub(u.chosenAt) >= choiceAge {
		u.chosen, u.chosenAt = upstreamsOf(u.self.Zone, u.node.Members(), exchange.WholeFleet), now
	}
	return u.chosen
}

// upstreamsOf returns the daemons that follow the tables for a zone, or none
// when the fleet is so small that each does so itself. A suspected daemon is
// none.
func upstreamsOf(zone string, members []membership.Member, directLimit int) []membership.Member {
	if len(members) <= directLimit {
		return nil
	}
	byName := map[string]membership.Member{}
	names := []string{}
	for _, member := range members {
		if member.Zone == zone && member.State == membership.StateAlive {
			byName[member.Name] = member
			names = append(names, member.Name)
		}
	}
	found := []membership.Member{}
	for _, name := range duty.Owners("table-upstream/"+zone, names, upstreamsPerZone) {
		found = append(found, byName[name])
	}
	return found
}

// Changes implements table.Upstream.
func (u *upstream) Changes(ctx context.Context, name string, after table.Version, wait time.Duration) (table.RelayedChanges, bool, error) {
	chosen := u.current(time.Now())
	if len(chosen) == 0 || u.isAmong(chosen) {
		return table.RelayedChanges{}, false, nil
	}
	request := followRequest{Table: name, After: int64(after), WaitMilliseconds: wait.Milliseconds()}
	answer, err := peer.Call[followRequest, followAnswer](ctx, u.transport, u.pick(chosen).Address, methodFollow, request)
	if err != nil {
		u.skip()
		return table.RelayedChanges{}, true, err
	}
	return table.RelayedChanges{
		Changes: table.Changes{Rows: tableRows(answer.Rows), Version: table.Version(answer.Version)},
		IsWhole: answer.IsWhole, IsSettled: answer.IsSettled, Age: time.Duration(answer.AgeMilliseconds) * time.Millisecond,
	}, true, nil
}

// pick spreads the daemons of a zone over its upstreams.
func (u *upstream) pick(chosen []membership.Member) membership.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return chosen[(int(xxhash.Sum64String(u.self.Name)%upstreamsPerZone)+u.skipped)%len(chosen)]
}

func (u *upstream) skip() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.skipped++
}

// serve answers a daemon that follows this one.
func (u *upstream) serve(ctx context.Context, _ string, request followRequest) (followAnswer, error) {
	offered, isOffered := u.copies[request.Table]
	if !isOffered {
		return followAnswer{}, failure.New(failure.KindNotFound, "no_table", "table %q is not followed", request.Table).WithNotRun()
	}
	called := offered.follower.Now()
	after := table.Version(request.After)
	if err := offered.await(ctx, after, time.Duration(request.WaitMilliseconds)*time.Millisecond); err != nil {
		return followAnswer{}, err
	}
	// In this order a process that is held up between any two steps tells an age that
	// is too great, never one that is too small.
	held := offered.follower.Now().Sub(called)
	age := offered.follower.StoreAge() - held
	changes, isWhole := offered.replica.ChangesSince(after)
	return followAnswer{
		Version: int64(changes.Version), IsWhole: isWhole, IsSettled: offered.follower.IsSettled(), Rows: rowRecords(changes.Rows),
		AgeMilliseconds: roundUp(age),
	}, nil
}

// roundUp returns a duration in whole milliseconds, never too short.
func roundUp(span time.Duration) int64 { return (span + time.Millisecond - 1).Milliseconds() }

// await waits until rows have changed behind a version, or for the whole wait.
// It fails as soon as the copy is too old to be told to others.
func (c followedCopy) await(ctx context.Context, after table.Version, wait time.Duration) error {
	end := time.Now().Add(wait)
	changed := c.replica.Changed(after)
	for {
		age := c.follower.StoreAge()
		if age >= upstreamAge {
			return failure.New(failure.KindUnavailable, "upstream_stale", "the copy is %s old", age).WithNotRun()
		}
		left := time.Until(end)
		if left <= 0 {
			return nil
		}
		timer := time.NewTimer(min(left, upstreamAge-age))
		select {
		case <-ctx.Done():
			timer.Stop()
			return failure.New(failure.KindUnavailable, "stopping", "the daemon stops").WithNotRun()
		case <-changed:
			timer.Stop()
			return nil
		case <-timer.C:
		}
	}
}
