package frontend

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hamba/avro/v2"

	"topazpulley/internal/avrocodec"
	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/table"
	"topazpulley/internal/topology"
)

const (
	// methodFollow is the peer method that returns changes to another daemon's copy of a
	// table.
	methodFollow = "table.follow"
	// methodFollowSection is the same for a section of a table.
	methodFollowSection = "table.follow_section"
	// upstreamAge is the maximum age of a copy that is served to others. A daemon whose copy gets
	// older than its own calls explain asks other daemons besides (table.Follower).
	upstreamAge = 1500 * time.Millisecond
	// upstreamTries is the maximum number of upstreams that are asked in turn while each
	// refuses within refusalTime.
	upstreamTries = 3
	refusalTime   = 100 * time.Millisecond
	// avoidTime is how long an upstream is asked after the others once a call to it has failed.
	avoidTime = 2 * time.Second
	// choiceAge is how long a choice of upstreams is used.
	choiceAge = 300 * time.Millisecond
)

// followRequest asks for the changes of a table after a version. The answer is sent as soon as
// there are changes, and at the latest after the wait.
type followRequest struct {
	Table            string `avro:"table"`
	After            int64  `avro:"after"`
	WaitMilliseconds int64  `avro:"wait_milliseconds"`
}

// followSectionRequest is followRequest for the keys of a section, as in table.Section.
type followSectionRequest struct {
	Table            string `avro:"table"`
	After            int64  `avro:"after"`
	WaitMilliseconds int64  `avro:"wait_milliseconds"`
	From             string `avro:"from"`
	Before           string `avro:"before"`
}

// followAnswer has the changes, or the complete table if IsWhole.
type followAnswer struct {
	Version   int64 `avro:"version"`
	IsWhole   bool  `avro:"is_whole"`
	IsSettled bool  `avro:"is_settled"`
	// AgeMilliseconds is the age of the upstream's copy relative to the arrival of the call;
	// negative if the copy was confirmed during the call.
	AgeMilliseconds int64       `avro:"age_milliseconds"`
	Rows            []rowRecord `avro:"rows"`
}

var (
	followRequestSchema = avrocodec.MustParse(`{"type":"record","name":"follow_request","fields":[{"name":"table","type":"string"},
		{"name":"after","type":"long"},{"name":"wait_milliseconds","type":"long"}]}`)
	followSectionRequestSchema = avrocodec.MustParse(`{"type":"record","name":"follow_section_request","fields":[{"name":"table","type":"string"},
		{"name":"after","type":"long"},{"name":"wait_milliseconds","type":"long"},{"name":"from","type":"string"},{"name":"before","type":"string"}]}`)
	followAnswerSchema = avrocodec.MustParse(`{"type":"record","name":"follow_answer","fields":[{"name":"version","type":"long"},
		{"name":"is_whole","type":"boolean"},{"name":"is_settled","type":"boolean"},{"name":"age_milliseconds","type":"long"},
		{"name":"rows","type":{"type":"array","items":` + rowRecordSchema + `}}]}`)
)

// Schema implements peer.Message.
func (followRequest) Schema() avro.Schema { return followRequestSchema }

// Schema implements peer.Message.
func (followSectionRequest) Schema() avro.Schema { return followSectionRequestSchema }

// Schema implements peer.Message.
func (followAnswer) Schema() avro.Schema { return followAnswerSchema }

// followedCopy is the follower of a table with its copy.
type followedCopy struct {
	follower *table.Follower
	replica  *table.Replica
}

// upstream chooses the daemon of the zone that is followed instead of the store, and serves the
// daemons that follow this one. Tables must be offered before the transport starts. mutex guards
// the fields after it.
type upstream struct {
	node      *cluster.Node
	transport *peer.Transport
	self      membership.Member
	copies    map[string]followedCopy

	mutex    sync.Mutex
	chosenAt time.Time
	// chosen are the upstreams of the zone; none in a small fleet.
	chosen []membership.Member
	// chosenOf is the membership generation of the choice.
	chosenOf uint64
	// failedAt is when a call to an upstream last failed, for any table, by name.
	failedAt map[string]time.Time
}

var _ table.Upstream = (*upstream)(nil)

func newUpstream(node *cluster.Node, transport *peer.Transport) *upstream {
	made := &upstream{node: node, transport: transport, self: node.Self(), copies: map[string]followedCopy{}, failedAt: map[string]time.Time{}}
	peer.Handle(transport, methodFollow, made.serve)
	peer.Handle(transport, methodFollowSection, made.serveSection)
	return made
}

func (u *upstream) offer(name string, offered followedCopy) { u.copies[name] = offered }

// Serves implements table.Upstream.
func (u *upstream) Serves() bool { return u.isAmong(u.current(time.Now())) }

func (u *upstream) isAmong(chosen []membership.Member) bool {
	return slices.ContainsFunc(chosen, func(member membership.Member) bool { return member.Name == u.self.Name })
}

// current returns the upstreams of the zone. The choice is refreshed every choiceAge.
func (u *upstream) current(now time.Time) []membership.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if now.Sub(u.chosenAt) < choiceAge {
		return u.chosen
	}
	u.chosenAt = now
	if generation := u.node.Generation(); generation != u.chosenOf {
		u.chosen, u.chosenOf = upstreamsOf(u.self.Zone, u.node.Members(), topology.FullMeshLimit), generation
	}
	return u.chosen
}

// upstreamsOf returns the upstreams of a zone. Suspected daemons are not chosen. There are none
// if the fleet has at most directLimit daemons, each of which then follows the store directly.
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
	for _, name := range duty.Owners("table-upstream/"+zone, names, topology.UpstreamCount(len(names))) {
		found = append(found, byName[name])
	}
	return found
}

// Changes implements table.Upstream.
func (u *upstream) Changes(ctx context.Context, name string, section table.Section, after table.Version, wait time.Duration) (table.RelayedChanges, bool, error) {
	chosen := u.current(time.Now())
	if len(chosen) == 0 || u.isAmong(chosen) {
		return table.RelayedChanges{}, false, nil
	}
	answer, asked, err := u.askSome(ctx, chosen, name, section, after, wait)
	if err != nil {
		return table.RelayedChanges{Daemon: asked}, true, err
	}
	return table.RelayedChanges{
		Daemon:  asked,
		Changes: table.Changes{Rows: tableRows(answer.Rows), Version: table.Version(answer.Version)},
		IsWhole: answer.IsWhole, IsSettled: answer.IsSettled, IsPart: section.IsPart, Age: time.Duration(answer.AgeMilliseconds) * time.Millisecond,
	}, true, nil
}

// askSome asks one upstream after the other while they refuse quickly, and returns the address of
// the last one. A daemon refuses while its copy is not current, as when it has just become an
// upstream.
func (u *upstream) askSome(ctx context.Context, chosen []membership.Member, name string, section table.Section, after table.Version, wait time.Duration) (answer followAnswer, asked string, err error) {
	for range min(upstreamTries, len(chosen)) {
		started := time.Now()
		member := u.pick(chosen, started)
		asked = member.Address
		answer, err = u.ask(ctx, asked, name, section, after, wait)
		if err == nil {
			return answer, asked, nil
		}
		u.recordFailure(member.Name, time.Now())
		if time.Since(started) > refusalTime || ctx.Err() != nil {
			break
		}
	}
	return answer, asked, err
}

// ask calls one upstream, which answers when there are changes or the wait is over.
func (u *upstream) ask(ctx context.Context, address, name string, section table.Section, after table.Version, wait time.Duration) (followAnswer, error) {
	if section.IsPart {
		request := followSectionRequest{Table: name, After: int64(after), WaitMilliseconds: wait.Milliseconds(), From: section.From, Before: section.Before}
		return peer.Call[followSectionRequest, followAnswer](ctx, u.transport, address, methodFollowSection, request)
	}
	request := followRequest{Table: name, After: int64(after), WaitMilliseconds: wait.Milliseconds()}
	return peer.Call[followRequest, followAnswer](ctx, u.transport, address, methodFollow, request)
}

// pick chooses an upstream by a hash of this daemon's name, to spread the load. It avoids those
// that failed within avoidTime; if all did, it chooses the one that failed first.
func (u *upstream) pick(chosen []membership.Member, now time.Time) membership.Member {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	first := int(xxhash.Sum64String(u.self.Name) % uint64(len(chosen)))
	picked := chosen[first]
	for index := range chosen {
		candidate := chosen[(first+index)%len(chosen)]
		failedAt := u.failedAt[candidate.Name]
		if now.Sub(failedAt) >= avoidTime {
			return candidate
		}
		if failedAt.Before(u.failedAt[picked.Name]) {
			picked = candidate
		}
	}
	return picked
}

// recordFailure records a failed call to an upstream.
func (u *upstream) recordFailure(name string, now time.Time) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	maps.DeleteFunc(u.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= avoidTime })
	u.failedAt[name] = now
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
	// In this order a process that pauses between any two steps reports an age that is too
	// high, never one that is too low.
	waited := offered.follower.Now().Sub(called)
	age := offered.follower.StoreAge() - waited
	changes, isWhole, isKnown := offered.replica.ChangesSince(after)
	if !isKnown {
		return followAnswer{}, notKept(request.Table)
	}
	return followAnswer{
		Version: int64(changes.Version), IsWhole: isWhole, IsSettled: offered.follower.IsSettled(), Rows: rowRecords(changes.Rows),
		AgeMilliseconds: roundUp(age),
	}, nil
}

// serveSection answers a daemon that follows a section of a table. Only changes within the
// section end the wait.
func (u *upstream) serveSection(ctx context.Context, _ string, request followSectionRequest) (followAnswer, error) {
	offered, isOffered := u.copies[request.Table]
	if !isOffered {
		return followAnswer{}, failure.New(failure.KindNotFound, "no_table", "table %q is not followed", request.Table).WithNotRun()
	}
	section := table.Section{IsPart: true, From: request.From, Before: request.Before}
	called := offered.follower.Now()
	end := time.Now().Add(time.Duration(request.WaitMilliseconds) * time.Millisecond)
	after := table.Version(request.After)
	for {
		if err := offered.await(ctx, after, time.Until(end)); err != nil {
			return followAnswer{}, err
		}
		// The order matters, as in serve.
		waited := offered.follower.Now().Sub(called)
		age := offered.follower.StoreAge() - waited
		changes, isKnown := offered.replica.SectionSince(section, after)
		if !isKnown {
			return followAnswer{}, notKept(request.Table)
		}
		if len(changes.Rows) > 0 || time.Now().After(end) {
			return followAnswer{Version: int64(changes.Version), IsSettled: offered.follower.IsSettled(), Rows: rowRecords(changes.Rows), AgeMilliseconds: roundUp(age)}, nil
		}
		after = max(after, changes.Version)
	}
}

// notKept returns the error for a request for changes older than those kept, by a daemon that
// can't send the complete table either.
func notKept(name string) error {
	return failure.New(failure.KindUnavailable, "changes_not_kept", "changes of table %q are not kept so far back", name).WithNotRun()
}

// roundUp returns a duration in milliseconds, rounded up.
func roundUp(span time.Duration) int64 { return (span + time.Millisecond - 1).Milliseconds() }

// await waits until rows have changed after a version, or until the wait is over. It fails as
// soon as the copy is older than upstreamAge.
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
