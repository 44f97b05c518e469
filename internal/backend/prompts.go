package backend

import (
	"container/list"
	"time"

	"topazpulley/internal/routing"
)

const (
	// promptAge is how long a part is believed to stay in a backend's memory
	// without being used; the work in between then takes its place.
	promptAge = 20 * time.Second
	// sharedTokens is the size from which on daemons tell each other which
	// backend has read a part.
	sharedTokens = 1000
	// urgentTokens is the size of a prompt that holds a backend up so long
	// that the other daemons should know at once.
	urgentTokens = 2000
	// readQueue bounds the reads that wait to be told.
	readQueue = 64
)

// PromptRead tells that a backend reads a part of a prompt.
type PromptRead struct {
	Incarnation Incarnation
	Part        string
}

// promptCache remembers the prompt parts that a backend read lately. It is a
// guess: what a backend keeps depends on all its work.
type promptCache struct {
	limit  int
	order  *list.List
	places map[string]*list.Element
}

// cachedPart is a remembered part.
type cachedPart struct {
	id     string
	usedAt time.Time
}

func newPromptCache(limit int) *promptCache {
	return &promptCache{limit: limit, order: list.New(), places: map[string]*list.Element{}}
}

func (c *promptCache) has(id string, now time.Time) bool {
	place, known := c.places[id]
	return known && now.Sub(place.Value.(cachedPart).usedAt) < promptAge
}

// uncached returns the tokens of the prompt behind its longest remembered
// beginning.
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
	if place, known := c.places[id]; known {
		place.Value = cachedPart{id: id, usedAt: now}
		c.order.MoveToFront(place)
		return
	}
	c.places[id] = c.order.PushFront(cachedPart{id: id, usedAt: now})
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.places, oldest.Value.(cachedPart).id)
}

// notePrompt remembers the shared parts of a prompt that is sent to a backend,
// and queues what the other daemons should know. The last part belongs to
// the request alone and is left out. mutex must be held.
func (s *Set) notePrompt(known *state, prompt []routing.PromptPart, now time.Time) {
	for index := 0; index+1 < len(prompt); index++ {
		part := prompt[index]
		known.prompts.touch(part.ID, now)
		if part.Tokens >= sharedTokens && len(s.reads) < readQueue {
			s.reads = append(s.reads, PromptRead{Incarnation: known.Incarnation(), Part: part.ID})
		}
	}
}

// TakePromptReads returns the reads of large parts since the last call.
func (s *Set) TakePromptReads() []PromptRead {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	taken := s.reads
	s.reads = nil
	return taken
}

// RecordPeerPromptReads records what another daemon told.
func (s *Set) RecordPeerPromptReads(reads []PromptRead, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, read := range reads {
		if known := s.current(read.Incarnation); known != nil {
			known.prompts.touch(read.Part, now)
		}
	}
}

// PublishSignal returns a channel that receives when a large prompt was sent.
func (s *Set) PublishSignal() <-chan struct{} { return s.publishSignal }
