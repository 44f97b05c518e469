package batch

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/quarantine"
)

// Task is one item of a claimed chunk that has no result yet. Only the caller
// that took it from the worker may use it.
type Task struct {
	chunk *activeChunk
	// Index is the item's position in its chunk.
	Index int
	Item  Item
	// Tokens are the tokens of earlier attempts; the next attempt continues after
	// them.
	Tokens []string
	// Attempts is the number of dispatches, and Failures that of failed ones.
	Attempts int
	Failures int
	// Earlier is the intent of an earlier owner. The item must not be dispatched
	// again; the outcome of the earlier attempt has to be queried.
	Earlier *Intent
	// Refused is the id of this owner's attempt that an engine refused before it
	// started.
	Refused string
}

// AttemptID increments Attempts and returns the id of the next dispatch. The id
// includes the epoch, so that two owners never use the same one.
func (t *Task) AttemptID() string {
	t.Attempts++
	claimed := t.chunk.claimed()
	return fmt.Sprintf("%s-%d-%d-%d-%d", claimed.Chunk.Job, claimed.Chunk.Number, t.Index, claimed.Chunk.Epoch, t.Attempts)
}

// Job returns the id of the task's job.
func (t *Task) Job() string { return t.chunk.job.ID }

// Epoch returns the epoch under which the task's chunk is claimed.
func (t *Task) Epoch() int64 { return t.chunk.claimed().Chunk.Epoch }

// Context returns a context that ends when the task's chunk is dropped.
func (t *Task) Context() context.Context { return t.chunk.context }

// Service returns the service that runs the task.
func (t *Task) Service() string { return t.chunk.job.Service }

// Fingerprint identifies the item's content. It is the same for all attempts.
func (t *Task) Fingerprint() quarantine.Fingerprint {
	return engine.GenerationFingerprint(t.Item.Body.Model, t.chunk.job.Tenant, t.Item.Body.Input())
}

// RequestID returns the id of the item in results.
func (t *Task) RequestID() string {
	return fmt.Sprintf("%s-%d", t.chunk.job.ID, t.chunk.number*t.chunk.job.ChunkSize+t.Index)
}

// result is the result of an item that is not committed yet.
type result struct {
	index  int
	line   []byte
	failed bool
}

// activeChunk is a chunk that this worker has claimed. mutex guards the fields
// from state to dropped.
type activeChunk struct {
	job     Job
	number  int
	context context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mutex   sync.Mutex
	state   ClaimedChunk
	waiting []*Task
	results []result
	// committing is the number of leading results in the segment that is being
	// committed. A retry commits the same results, because the first attempt may
	// have been applied.
	committing int
	// oldestAt is when the first of results was added, or when the last segment
	// was committed if that is later. The zero time makes a segment due.
	oldestAt time.Time
	sequence int
	// unfinished is the number of items without a result.
	unfinished int
	// takenAt is when a task was last taken, or when the chunk was claimed.
	takenAt time.Time
	done    bool
	dropped bool

	// storeMutex serializes writes of the chunk's row.
	storeMutex sync.Mutex
}

func (c *activeChunk) claimed() ClaimedChunk {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

func (c *activeChunk) assignment() AssignmentMessage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return AssignmentMessage{Job: c.job.ID, Chunk: c.number, Done: c.done, Released: c.dropped && !c.done}
}

// drop drops the chunk: its running tasks are cancelled and its uncommitted
// results are discarded.
func (c *activeChunk) drop() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.dropped = true
	c.waiting = nil
	c.results = nil
	c.committing = 0
	c.cancel()
}

// isStalled reports whether tasks are waiting, none is running and none was taken
// within stallTimeout: this daemon's engines have no free capacity or are gone.
func (c *activeChunk) isStalled(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	noneRuns := c.unfinished == len(c.waiting)
	return !c.dropped && len(c.waiting) > 0 && noneRuns && now.Sub(c.takenAt) > stallTimeout
}

func (c *activeChunk) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *activeChunk) addResult(added result) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.dropped {
		return
	}
	if len(c.results) == 0 {
		c.oldestAt = time.Now()
	}
	c.results = append(c.results, added)
	c.unfinished--
	c.signal()
}

// takeResults returns the results to commit if a segment is due. It returns the
// same results until they are committed.
func (c *activeChunk) takeResults(now time.Time) []result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.committing > 0 {
		return c.results[:c.committing]
	}
	isFull := len(c.results) >= segmentItems || c.unfinished == 0
	isOld := now.Sub(c.oldestAt) >= segmentMaxAge
	if len(c.results) == 0 || !(isFull || isOld) {
		return nil
	}
	c.committing = len(c.results)
	return c.results
}

// completionBody is the body of a completed item: an OpenAI completion.
type completionBody struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         string             `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// CompletionBody returns a finished answer as an OpenAI completion or chat
// completion, depending on the endpoint.
func CompletionBody(endpoint, id, model string, tokens []string, end engine.Event) json.RawMessage {
	text := engine.JoinTokens(tokens)
	body := completionBody{ID: id, Object: "text_completion", Model: model}
	choice := completionChoice{FinishReason: end.FinishReason, Text: text}
	if endpoint == EndpointChatCompletions {
		body.Object = "chat.completion"
		choice.Text = ""
		choice.Message = &completionMessage{Role: "assistant", Content: text}
	}
	body.Choices = []completionChoice{choice}
	body.Usage = completionUsage{PromptTokens: end.PromptTokens, CompletionTokens: len(tokens), TotalTokens: end.PromptTokens + len(tokens)}
	return encode(body)
}

const statusOK = 200

// successLine returns the result line of a completed task.
func successLine(task *Task, tokens []string, end engine.Event) []byte {
	id := task.RequestID()
	return encode(ResultLine{
		ID: id, CustomID: task.Item.CustomID,
		Response: &ResultResponse{
			StatusCode: statusOK, RequestID: id,
			Body: CompletionBody(task.chunk.job.Endpoint, id, task.Item.Body.Model, tokens, end),
		},
	})
}

// failureLine returns the result line of a task that failed permanently.
func failureLine(task *Task, err error) []byte {
	typed := failure.From(err)
	var attempt *engine.AttemptError
	if typed.Kind == failure.KindInternal && errors.As(err, &attempt) {
		typed = failure.Wrap(err, failure.KindEngineFailed, attempt.Code, "the engine did not complete the item")
	}
	return encode(ResultLine{
		ID: task.RequestID(), CustomID: task.Item.CustomID,
		Error: &ResultError{Type: typed.Kind, Code: typed.Code, Message: typed.Message},
	})
}
