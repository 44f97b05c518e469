package emulator

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// vocabulary is what emulated models answer with.
var vocabulary = []string{"the ", "boiler ", "valve ", "pressure ", "reads ", "bar ", "lesson ", "bow ", "scale ", "slowly ", "again ", "check ", "note ", "and ", "is ", "steady. "}

// OutputToken returns token index of the answer to a prompt. It depends on the
// prompt and the index only, so that every engine gives the same answer and a
// checker can compute it. The first token is the prompt's hash, which shows
// whose answer it is.
func OutputToken(prompt string, index int) string {
	if index == 0 {
		return strconv.FormatUint(xxhash.Sum64String(prompt), 16) + " "
	}
	hash := xxhash.Sum64String(prompt + "#" + strconv.Itoa(index))
	return vocabulary[hash%uint64(len(vocabulary))]
}

// OutputTokens returns the whole answer to a prompt with the token limit.
func OutputTokens(prompt string, maxTokens int) []string {
	tokens := make([]string, maxTokens)
	for index := range tokens {
		tokens[index] = OutputToken(prompt, index)
	}
	return tokens
}

// EngineModel is the token-time model of an engine: what prefill and decode
// cost. Times are in seconds, before TimeScale.
type EngineModel struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens are processed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// PrefillChunk bounds prompt tokens processed in one step.
	PrefillChunk int `json:"prefill_chunk"`
	// StepBaseSeconds is the fixed part of a decode step.
	StepBaseSeconds float64 `json:"step_base_seconds"`
	// StepSequenceSeconds is added to a step per running sequence.
	StepSequenceSeconds float64 `json:"step_sequence_seconds"`
	// MaxRunning bounds the sequences in a batch.
	MaxRunning int `json:"max_running"`
	// MaxWaiting bounds the queue; more is refused.
	MaxWaiting int `json:"max_waiting"`
	// KVCapacity bounds the tokens held by running sequences.
	KVCapacity int `json:"kv_capacity"`
	// PrefixBlocks bounds the prefix cache, in blocks of prefixBlockBytes.
	PrefixBlocks int `json:"prefix_blocks"`
	// LoadSeconds is the time to load models after an order.
	LoadSeconds float64 `json:"load_seconds"`
	// ReportLagSeconds delays load reports.
	ReportLagSeconds float64 `json:"report_lag_seconds"`
	// TimeScale multiplies all times; below 1 the engine runs faster than real.
	TimeScale float64 `json:"time_scale"`
}

// DefaultEngineModel returns figures for a runner of several accelerators under
// continuous batching: at 32 sequences a step takes 18 ms and the engine
// generates 1,780 tokens a second, about the 1,719 that the users' aim gives
// each of its 640 runners at the peak. docs/PERFORMANCE.md says what is assumed.
func DefaultEngineModel() EngineModel {
	return EngineModel{
		PrefillTokensPerSecond: 30000,
		PrefillChunk:           2048,
		StepBaseSeconds:        0.010,
		StepSequenceSeconds:    0.00025,
		MaxRunning:             32,
		MaxWaiting:             256,
		KVCapacity:             120000,
		PrefixBlocks:           2000,
		LoadSeconds:            0.3,
		ReportLagSeconds:       0.25,
		TimeScale:              1,
	}
}

// prefixBlockBytes is the granularity of the prefix cache.
const prefixBlockBytes = 256

// prefixCache is an LRU set of cumulative block hashes. The engine's lock
// guards it.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// touch returns how many leading bytes of the prompt were cached and caches
// all its full blocks.
func (c *prefixCache) touch(prompt string) int {
	cachedBytes := 0
	unbroken := true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		element, cached := c.blocks[hash]
		if cached {
			c.order.MoveToFront(element)
		} else {
			c.insert(hash)
		}
		unbroken = unbroken && cached
		if unbroken {
			cachedBytes = end
		}
	}
	return cachedBytes
}

func (c *prefixCache) insert(hash uint64) {
	c.blocks[hash] = c.order.PushFront(hash)
	if c.order.Len() > c.capacity {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		delete(c.blocks, oldest.Value.(uint64))
	}
}
