package emulator

import (
	"container/list"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// vocabulary holds the output tokens of emulated models.
var vocabulary = []string{"the ", "boiler ", "valve ", "pressure ", "reads ", "bar ", "lesson ", "bow ", "scale ", "slowly ", "again ", "check ", "note ", "and ", "is ", "steady. "}

// OutputToken returns the token with an index in the answer to a prompt. It depends only
// on the prompt and the index, so that all engines give the same answer and a checker can
// compute it. The first token is the hash of the prompt and identifies the answer.
func OutputToken(prompt string, index int) string {
	if index == 0 {
		return strconv.FormatUint(xxhash.Sum64String(prompt), 16) + " "
	}
	hash := xxhash.Sum64String(prompt + "#" + strconv.Itoa(index))
	return vocabulary[hash%uint64(len(vocabulary))]
}

// OutputTokens returns the complete answer to a prompt with a token limit.
func OutputTokens(prompt string, maxTokens int) []string {
	tokens := make([]string, maxTokens)
	for index := range tokens {
		tokens[index] = OutputToken(prompt, index)
	}
	return tokens
}

// EngineModel is the performance model of an engine. Times are in seconds and are
// multiplied by TimeScale.
type EngineModel struct {
	// PrefillTokensPerSecond is the rate at which prompt tokens are processed.
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// PrefillChunk is the maximum number of prompt tokens processed in one step.
	PrefillChunk int `json:"prefill_chunk"`
	// StepBaseSeconds is the fixed part of a decode step.
	StepBaseSeconds float64 `json:"step_base_seconds"`
	// StepSequenceSeconds is added to a step per running sequence.
	StepSequenceSeconds float64 `json:"step_sequence_seconds"`
	// MaxRunning is the maximum number of sequences in a batch.
	MaxRunning int `json:"max_running"`
	// MaxWaiting is the maximum queue length; further requests are refused.
	MaxWaiting int `json:"max_waiting"`
	// KVCapacity is the maximum number of tokens of the running sequences.
	KVCapacity int `json:"kv_capacity"`
	// PrefixBlocks is the size of the prefix cache, in blocks of prefixBlockBytes.
	PrefixBlocks int `json:"prefix_blocks"`
	// LoadSeconds is the time that loading models takes after an order.
	LoadSeconds float64 `json:"load_seconds"`
	// ReportLagSeconds is the age of the load in load reports.
	ReportLagSeconds float64 `json:"report_lag_seconds"`
	// TimeScale multiplies all times; below 1 the engine is faster than real time.
	TimeScale float64 `json:"time_scale"`
}

// DefaultEngineModel returns the model of a backend with several accelerators and
// continuous batching: with 32 sequences a step takes 18 ms and the engine generates
// 1,780 tokens per second. docs/PERFORMANCE.md lists the assumptions.
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

// prefixBlockBytes is the block size of the prefix cache.
const prefixBlockBytes = 256

// prefixCache is an LRU set of prefix hashes, one for each block boundary. Engine.mutex
// guards it.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// touch adds all full blocks of the prompt to the cache and returns the number of leading
// bytes that were cached before.
func (c *prefixCache) touch(prompt string) int {
	cachedBytes := 0
	isContiguous := true
	for end := prefixBlockBytes; end <= len(prompt); end += prefixBlockBytes {
		hash := xxhash.Sum64String(prompt[:end])
		element, cached := c.blocks[hash]
		if cached {
			c.order.MoveToFront(element)
		} else {
			c.insert(hash)
		}
		isContiguous = isContiguous && cached
		if isContiguous {
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
