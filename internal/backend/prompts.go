package backend

import (
	"container/list"

	"topazpulley/internal/routing"
)

// promptCache remembers the prompt parts that a back end read lately, the
// longest unused giving way first. It is a guess: the back end's memory is
// shared with work that this daemon does not see.
type promptCache struct {
	limit  int
	order  *list.List
	places map[string]*list.Element
}

func newPromptCache(limit int) *promptCache {
	return &promptCache{limit: limit, order: list.New(), places: map[string]*list.Element{}}
}

// uncached returns the tokens of the prompt behind its longest remembered
// beginning.
func (c *promptCache) uncached(prompt []routing.PromptPart) int {
	tokens := 0
	isCached := true
	for _, part := range prompt {
		_, known := c.places[part.ID]
		isCached = isCached && known
		if !isCached {
			tokens += part.Tokens
		}
	}
	return tokens
}

// add remembers the shared parts of a prompt. The last part belongs to the
// request alone and is left out.
func (c *promptCache) add(prompt []routing.PromptPart) {
	for index := 0; index+1 < len(prompt); index++ {
		c.touch(prompt[index].ID)
	}
}

func (c *promptCache) touch(id string) {
	if place, known := c.places[id]; known {
		c.order.MoveToFront(place)
		return
	}
	c.places[id] = c.order.PushFront(id)
	if c.order.Len() <= c.limit {
		return
	}
	oldest := c.order.Back()
	c.order.Remove(oldest)
	delete(c.places, oldest.Value.(string))
}
