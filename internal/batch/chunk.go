// Package batch stores batch jobs, splits them into chunks, assigns the chunks
// to workers, commits results and completes or cancels jobs.
//
// Chunk is a state machine without side effects. Store persists its transitions
// with conditional writes. Coordinator assigns chunks, and Worker runs them.
// Only the conditions of Store's writes protect against concurrent owners; the
// in-memory state of Coordinator and Worker may be outdated.
package batch

import (
	"fmt"

	"topazpulley/internal/failure"
)

// Segment is a group of committed results of one chunk. Its object contains one
// result line per item.
type Segment struct {
	// Epoch is the claim under which the segment was committed.
	Epoch int64 `json:"epoch"`
	// Sequence is the segment's number within the epoch, from 0.
	Sequence int `json:"sequence"`
	// Object is the name of the results in the object store.
	Object string `json:"object"`
	// Items are the indexes within the chunk of the items, in result order.
	Items []int `json:"items"`
	// Failed is the number of items that failed.
	Failed int `json:"failed"`
}

// Intent records that an item that must run at most once is about to be sent to
// an engine. It is written before the item is sent.
type Intent struct {
	Item      int    `json:"item"`
	Engine    string `json:"engine"`
	Address   string `json:"address"`
	AttemptID string `json:"attempt_id"`
	// Replaces is the id of the item's earlier attempt, set only if the engine
	// refused that attempt before it started.
	Replaces string `json:"replaces,omitempty"`
}

// Chunk is the durable state of one chunk, the unit of work that a worker
// claims.
//
// Invariants: every claim increments Epoch; only the owner of the current epoch
// adds segments or intents; an item is in at most one segment and has at most
// one intent; Done is true if and only if every item is committed.
type Chunk struct {
	Job      string    `json:"job"`
	Number   int       `json:"number"`
	Items    int       `json:"items"`
	Owner    string    `json:"owner"`
	Epoch    int64     `json:"epoch"`
	Segments []Segment `json:"segments,omitempty"`
	Intents  []Intent  `json:"intents,omitempty"`
	Done     bool      `json:"done"`
}

// Claim returns the chunk with the given owner and the next epoch.
func (c Chunk) Claim(owner string) Chunk {
	c.Owner = owner
	c.Epoch++
	return c
}

// Committed reports for every item whether its result is committed.
func (c Chunk) Committed() []bool {
	committed := make([]bool, c.Items)
	for _, segment := range c.Segments {
		for _, item := range segment.Items {
			committed[item] = true
		}
	}
	return committed
}

// Remaining returns the items without a committed result, in order.
func (c Chunk) Remaining() []int {
	remaining := []int{}
	for item, done := range c.Committed() {
		if !done {
			remaining = append(remaining, item)
		}
	}
	return remaining
}

// FailedItems returns the number of committed items that failed.
func (c Chunk) FailedItems() int {
	failed := 0
	for _, segment := range c.Segments {
		failed += segment.Failed
	}
	return failed
}

// CommittedItems returns the number of committed items.
func (c Chunk) CommittedItems() int {
	count := 0
	for _, segment := range c.Segments {
		count += len(segment.Items)
	}
	return count
}

// HasSegment reports whether the segment with the given epoch and sequence is
// committed.
func (c Chunk) HasSegment(epoch int64, sequence int) bool {
	for _, segment := range c.Segments {
		if segment.Epoch == epoch && segment.Sequence == sequence {
			return true
		}
	}
	return false
}

// IntentFor returns the recorded intent of an item.
func (c Chunk) IntentFor(item int) (Intent, bool) {
	for _, intent := range c.Intents {
		if intent.Item == item {
			return intent, true
		}
	}
	return Intent{}, false
}

// Commit adds a segment. It fails if the owner or the segment's epoch is not the
// chunk's current one, or if an item is already committed.
func (c Chunk) Commit(owner string, segment Segment) (Chunk, error) {
	if err := c.checkOwner(owner, segment.Epoch); err != nil {
		return c, err
	}
	committed := c.Committed()
	for _, item := range segment.Items {
		if item < 0 || item >= c.Items || committed[item] {
			return c, failure.New(failure.KindConflict, "item_committed", "item %d of %s is out of range or already committed", item, c.Key())
		}
		committed[item] = true
	}
	c.Segments = append(c.Segments[:len(c.Segments):len(c.Segments)], segment)
	c.Done = c.CommittedItems() == c.Items
	return c, nil
}

// RecordIntents adds intents. It fails if the owner or epoch is not the chunk's
// current one. It also fails for an item that already has an intent, because
// the item may have run, unless the new intent replaces an attempt that the
// engine refused.
func (c Chunk) RecordIntents(owner string, epoch int64, intents []Intent) (Chunk, error) {
	if err := c.checkOwner(owner, epoch); err != nil {
		return c, err
	}
	for _, intent := range intents {
		recorded, exists := c.IntentFor(intent.Item)
		if exists && recorded.AttemptID == intent.Replaces {
			c.Intents = withoutIntent(c.Intents, intent.Item)
			exists = false
		}
		if exists {
			return c, failure.New(failure.KindConflict, "intent_exists", "item %d of %s has already been dispatched", intent.Item, c.Key())
		}
		c.Intents = append(c.Intents[:len(c.Intents):len(c.Intents)], intent)
	}
	return c, nil
}

func withoutIntent(intents []Intent, item int) []Intent {
	kept := make([]Intent, 0, len(intents))
	for _, intent := range intents {
		if intent.Item != item {
			kept = append(kept, intent)
		}
	}
	return kept
}

func (c Chunk) checkOwner(owner string, epoch int64) error {
	if c.Owner != owner || c.Epoch != epoch {
		return failure.New(failure.KindConflict, CodeStaleEpoch, "%s is owned by %s at epoch %d, not by %s at %d", c.Key(), c.Owner, c.Epoch, owner, epoch)
	}
	return nil
}

// CodeStaleEpoch is the error code for a chunk that another owner has claimed.
const CodeStaleEpoch = "stale_epoch"

// Key returns the chunk's table key.
func (c Chunk) Key() string { return chunkKey(c.Job, c.Number) }

func chunkKey(job string, number int) string { return fmt.Sprintf("%s%08d", chunkPrefix(job), number) }
func chunkPrefix(job string) string          { return "chunk/" + job + "/" }
func stateKey(job string) string             { return "job-state/" + job }
func jobKey(tenant, key string) string       { return "job/" + tenant + "/" + key }
func openPrefix(shard int) string            { return fmt.Sprintf("open/%03d/", shard) }
func openKey(job string) string              { return openPrefix(ShardOf(job)) + job }

func segmentObject(job string, number int, epoch int64, sequence int) string {
	return fmt.Sprintf("segments/%s/%08d/%d-%d", job, number, epoch, sequence)
}
