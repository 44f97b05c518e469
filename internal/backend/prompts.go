package backend

import (
	"container/list"
	"time"

	"topazpulley/internal/routing"
)

const (
	// promptLifetime is how long an unused prompt part is assumed to stay in a backend's
	// cache.
	promptLifetime = 20 * time.Second
	// largePartTokens is the minimum size of the parts whose reads are sent to other
	// daemons.
	largePartTokens = 1000
	// largePromptTokens is the number of uncached tokens from which a request's load is
	// published at once: the backend is busy for long.
	largePromptTokens = 2000
	// maxUnsentReads limits the reads that wait to be sent.
	maxUnsentReads = 64
)

// PromptRead records that a backend read a part of a prompt.
type PromptRead struct {
	Incarnation Incarnation
	Part        string
}

// promptCache holds the prompt parts that a backend read recently, least recently used
// last. It estimates the backend's own cache, whose contents depend on all its work.
type promptCache struct {
	limit    int
	order    *list.List
	elements map[string]*list.Element
}

type cachedPart struct {
	id     string
	usedAt time.Time
}

func newPromptCache(limit int) *promptCache {
	return &promptCache{limit: limit, order: list.New(), elements: map[string]*list.Element{}}
}

func (c *promptCache) has(id string, now time.Time) bool {
	element, known := c.elements[id]
	return known && now.Sub(element.Value.(cachedPart).usedAt) < promptLifetime
}

// uncached returns the number of tokens after the longest cached prefix of the prompt.
func (c *promptCache) uncached(prompt []routing.PromptPart, now time.Time) int {
	tokens := 0
	isCached := true
	for _, part := range prompt {
		isCached = isCached && c.has(part.ID, now)
		if !isCached {
			tokens += part.Tokens
		}
	}
	return tokens
}

func (c *promptCache) touch(id string, now time.Time) {
	if element, known := c.elements[id]; known {
		element.Value = cachedPart{id: id, usedAt: now}
		c.order.MoveToFront(element)
		return
	}
	c.elements[id] = c.order.PushFront(cachedPart{id: id, usedAt: now})
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.elements, oldest.Value.(cachedPart).id)
}

// recordPrompt records the shared parts of a prompt sent to a backend and queues the large
// ones for other daemons. The last part is specific to the request and is left out. mutex
// must be held.
func (s *Set) recordPrompt(known *state, prompt []routing.PromptPart, now time.Time) {
	for index := 0; index+1 < len(prompt); index++ {
		part := prompt[index]
		known.prompts.touch(part.ID, now)
		if part.Tokens >= largePartTokens && len(s.promptReads) < maxUnsentReads {
			s.promptReads = append(s.promptReads, PromptRead{Incarnation: known.Incarnation(), Part: part.ID})
		}
	}
}

// TakePromptReads returns the reads of large parts since the last call.
func (s *Set) TakePromptReads() []PromptRead {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.promptReads
	s.promptReads = nil
	return taken
}

// RecordPeerPromptReads records reads reported by another daemon.
func (s *Set) RecordPeerPromptReads(reads []PromptRead, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, read := range reads {
		if known := s.current(read.Incarnation); known != nil {
			known.prompts.touch(read.Part, now)
		}
	}
}

// PublishSignal is signalled when the load should be published at once: a large prompt was
// sent, or the overload of a backend changed.
func (s *Set) PublishSignal() <-chan struct{} { return s.publishSignal }
