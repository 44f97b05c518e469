package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// syncBuckets is the number of parts of the member list that are compared by
// digest; only parts that differ are exchanged.
const syncBuckets = 32

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

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % syncBuckets) }

// bucketDigests covers dead members too: news of a death must not be lost.
func (c *Core) bucketDigests() []int64 {
	digests := make([]int64, syncBuckets)
	for name, member := range c.members {
		digests[bucketOf(name)] ^= int64(hashMember(member))
	}
	return digests
}

func (c *Core) membersInDifferingBuckets(digests []int64) []Member {
	own := c.bucketDigests()
	chosen := []Member{}
	for name, member := range c.members {
		bucket := bucketOf(name)
		if bucket >= len(digests) || own[bucket] != digests[bucket] {
			chosen = append(chosen, member)
		}
	}
	sort.Slice(chosen, func(a, b int) bool { return chosen[a].Name < chosen[b].Name })
	return chosen
}

// StartSync makes the request of a full exchange.
func (c *Core) StartSync() SyncRequest {
	return SyncRequest{Zone: c.self.Zone, Digests: c.bucketDigests(), ItemDigest: c.itemDigest(c.self.Zone)}
}

// AnswerSync makes the responder's answer.
func (c *Core) AnswerSync(request SyncRequest) SyncAnswer {
	answer := SyncAnswer{Digests: c.bucketDigests(), Members: c.membersInDifferingBuckets(request.Digests)}
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
	for _, member := range answer.Members {
		c.apply(member, now)
	}
	for _, item := range answer.Items {
		c.applyItem(item, now)
	}
	return push
}

// AcceptPush merges the requester's side.
func (c *Core) AcceptPush(push SyncPush, now time.Time) {
	for _, member := range push.Members {
		c.apply(member, now)
	}
}
