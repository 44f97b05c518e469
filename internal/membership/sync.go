package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// leastBuckets is the least number of parts of the member list that are compared by
	// digest; only parts that differ are exchanged. Each holds bucketMembers at most in
	// the mean, so that one change costs the same in a fleet of any size.
	leastBuckets  = 32
	bucketMembers = 8
	// bulkMembers is from how many members on an exchange is a bulk of news, which is not
	// passed on by gossip: all learn it by exchanges of their own, and gossip, which is
	// bounded, would be busy with it for minutes while other news wait.
	bulkMembers = 16
	// mostBuckets bounds the parts that another member may ask to compare.
	mostBuckets = 1 << 16
)

// SyncRequest opens a full exchange.
type SyncRequest struct {
	Zone    string
	Digests []int64
	// ItemDigest covers the durable items that the requester's zone should
	// have; when it differs, the answer carries them all.
	ItemDigest int64
}

// SyncAnswer carries the responder's side of the parts that differ.
type SyncAnswer struct {
	Digests []int64
	Members []Member
	Items   []Item
}

// SyncPush carries the requester's side of the parts that differ.
type SyncPush struct {
	Members []Member
}

// bucketOf returns the part, of so many, to which a member belongs.
func bucketOf(name string, buckets int) int { return int(xxhash.Sum64String(name) % uint64(buckets)) }

// buckets is the number of parts that this member asks to compare: a power of two, so that
// members that know nearly as many ask for the same.
func (c *Core) buckets() int {
	count := leastBuckets
	for count*bucketMembers < len(c.members) {
		count *= 2
	}
	return count
}

// bucketDigests covers dead members too: news of a death must not be lost.
func (c *Core) bucketDigests(buckets int) []int64 {
	digests := make([]int64, buckets)
	for name, member := range c.members {
		digests[bucketOf(name, buckets)] ^= int64(hashMember(member))
	}
	return digests
}

func (c *Core) membersInDifferingBuckets(digests []int64) []Member {
	chosen := []Member{}
	if len(digests) == 0 {
		return chosen
	}
	own := c.bucketDigests(len(digests))
	for name, member := range c.members {
		bucket := bucketOf(name, len(digests))
		if own[bucket] != digests[bucket] {
			chosen = append(chosen, member)
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Name < chosen[b].Name })
	return chosen
}

// StartSync makes the request of a full exchange.
func (c *Core) StartSync() SyncRequest {
	return SyncRequest{Zone: c.self.Zone, Digests: c.bucketDigests(c.buckets()), ItemDigest: c.itemDigest(c.self.Zone)}
}

// AnswerSync makes the responder's answer.
func (c *Core) AnswerSync(request SyncRequest) SyncAnswer {
	buckets := min(max(len(request.Digests), 1), mostBuckets)
	answer := SyncAnswer{Digests: c.bucketDigests(buckets), Members: c.membersInDifferingBuckets(request.Digests)}
	if request.ItemDigest == c.itemDigest(request.Zone) {
		return answer
	}
	for _, held := range c.items {
		if held.item.concerns(request.Zone) {
			answer.Items = append(answer.Items, held.item)
		}
	}
	return answer
}

// concerns reports whether members of a zone hold the item.
func (i Item) concerns(zone string) bool { return i.Zone == "" || i.Zone == zone }

// itemDigest covers the items that change seldom; load items refresh
// themselves.
func (c *Core) itemDigest(zone string) int64 {
	digest := uint64(0)
	for key, held := range c.items {
		if held.item.Priority != PriorityLoad && held.item.concerns(zone) {
			digest ^= mix(xxhash.Sum64String(key) + uint64(held.item.Version)*mixIncarnation)
		}
	}
	return int64(digest)
}

// FinishSync merges the answer and makes the requester's side.
func (c *Core) FinishSync(answer SyncAnswer, now time.Time) SyncPush {
	push := SyncPush{Members: c.membersInDifferingBuckets(answer.Digests)}
	c.learn(answer.Members, now)
	for _, item := range answer.Items {
		c.applyItem(item, now)
	}
	return push
}

// AcceptPush merges the requester's side.
func (c *Core) AcceptPush(push SyncPush, now time.Time) {
	c.learn(push.Members, now)
}

// learn merges the members of an exchange.
func (c *Core) learn(members []Member, now time.Time) {
	if len(members) < bulkMembers {
		for _, member := range members {
			c.apply(member, now)
		}
		return
	}
	for _, member := range members {
		c.merge(member, now)
	}
}
