package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBuckets is the least number of buckets into which an exchange divides the
	// member list. Only buckets whose digests differ are exchanged.
	minBuckets = 32
	// bucketMembers is the highest mean number of members in a bucket. It bounds the
	// cost of one change in a fleet of any size.
	bucketMembers = 8
	// bulkMembers is the number of members from which on the result of an exchange is
	// not gossiped: other members get it by their own exchanges, and it would delay
	// other updates in the rate-limited gossip.
	bulkMembers = 16
	// maxBuckets limits the number of buckets that another member may request.
	maxBuckets = 1 << 16
)

// SyncRequest starts a full exchange.
type SyncRequest struct {
	Zone string
	// Digests holds the digest of each of the requester's buckets.
	Digests []int64
	// ItemDigest covers the durable items for the requester's zone. If it differs
	// from the responder's, the answer carries all of these.
	ItemDigest int64
}

// SyncAnswer carries the responder's digests and its members in buckets that differ.
type SyncAnswer struct {
	Digests []int64
	Members []Member
	Items   []Item
}

// SyncPush carries the requester's members in buckets that differ.
type SyncPush struct {
	Members []Member
}

// bucketOf returns the bucket of a member, from 0 to buckets-1.
func bucketOf(name string, buckets int) int { return int(xxhash.Sum64String(name) % uint64(buckets)) }

// buckets is the number of buckets that this member requests: a power of two, so that
// members with lists of similar length use the same number.
func (c *Core) buckets() int {
	count := minBuckets
	for count*bucketMembers < len(c.members) {
		count *= 2
	}
	return count
}

// bucketDigests returns the digest of each bucket. Dead members are included, so that
// exchanges carry deaths.
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

// StartSync returns the request of a full exchange.
func (c *Core) StartSync() SyncRequest {
	return SyncRequest{Zone: c.self.Zone, Digests: c.bucketDigests(c.buckets()), ItemDigest: c.itemDigest(c.self.Zone)}
}

// AnswerSync returns the answer to a request.
func (c *Core) AnswerSync(request SyncRequest) SyncAnswer {
	buckets := min(max(len(request.Digests), 1), maxBuckets)
	answer := SyncAnswer{Digests: c.bucketDigests(buckets), Members: c.membersInDifferingBuckets(request.Digests)}
	if request.ItemDigest == c.itemDigest(request.Zone) {
		return answer
	}
	for _, stored := range c.items {
		if stored.item.appliesTo(request.Zone) {
			answer.Items = append(answer.Items, stored.item)
		}
	}
	return answer
}

// appliesTo reports whether members of a zone store the item.
func (i Item) appliesTo(zone string) bool { return i.Zone == "" || i.Zone == zone }

// itemDigest covers the durable items for a zone. Load items are left out, as their
// publishers refresh them often.
func (c *Core) itemDigest(zone string) int64 {
	digest := uint64(0)
	for key, stored := range c.items {
		if stored.item.Priority != PriorityLoad && stored.item.appliesTo(zone) {
			digest ^= mix(xxhash.Sum64String(key) + uint64(stored.item.Version)*mixIncarnation)
		}
	}
	return int64(digest)
}

// FinishSync merges the answer and returns the requester's members for the responder.
func (c *Core) FinishSync(answer SyncAnswer, now time.Time) SyncPush {
	push := SyncPush{Members: c.membersInDifferingBuckets(answer.Digests)}
	c.mergeExchanged(answer.Members, now)
	for _, item := range answer.Items {
		c.applyItem(item, now)
	}
	return push
}

// AcceptPush merges the requester's members.
func (c *Core) AcceptPush(push SyncPush, now time.Time) {
	c.mergeExchanged(push.Members, now)
}

// mergeExchanged merges the members of an exchange. Fewer than bulkMembers are also gossiped.
func (c *Core) mergeExchanged(members []Member, now time.Time) {
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
