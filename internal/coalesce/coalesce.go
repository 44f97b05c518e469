// Package coalesce shares calls among those who wait for their result. Unlike a single flight, a
// call serves only those who asked before it started, so that its result is never older than the
// question.
package coalesce

import (
	"context"
	"sync"
	"time"
)

// Group shares the calls of one function. The zero value is ready. It is safe for concurrent use;
// mutex guards the fields.
type Group[T any] struct {
	mutex sync.Mutex
	// isRunning is set while calls are made. next is the call that starts after the present one;
	// it serves all who asked since that one started.
	isRunning bool
	next      *round[T]
}

// round is one call. done is closed at its end; value is set before.
type round[T any] struct {
	done  chan struct{}
	value T
}

// Do returns the result of a call that starts after Do is called, and at least a pause after the
// end of the one before. It reports false if the context ends first. The function must bound its
// own time; all calls of a group pass the same one.
func (g *Group[T]) Do(ctx context.Context, pause time.Duration, call func() T) (value T, isDone bool) {
	joined := g.join(pause, call)
	select {
	case <-ctx.Done():
		return value, false
	case <-joined.done:
		return joined.value, true
	}
}

// join returns the next call and starts it if none is under way.
func (g *Group[T]) join(pause time.Duration, call func() T) *round[T] {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.next == nil {
		g.next = &round[T]{done: make(chan struct{})}
	}
	joined := g.next
	if !g.isRunning {
		g.isRunning = true
		go g.run(pause, call)
	}
	return joined
}

// run makes calls one after another until nobody waits for one.
func (g *Group[T]) run(pause time.Duration, call func() T) {
	for {
		present := g.take()
		if present == nil {
			return
		}
		present.value = call()
		close(present.done)
		time.Sleep(pause)
	}
}

// take returns the call that starts now, nil if nobody waits for one.
func (g *Group[T]) take() *round[T] {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	present := g.next
	g.next = nil
	g.isRunning = present != nil
	return present
}
