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

// Task is one item of a claimed chunk on its way to a result. It is owned by
// whoever took it from the worker.
type Task struct {
	chunk *activeChunk
	// Index is the item's position in its chunk.
	Index int
	Item  Item
	// Tokens holds what earlier attempts produced; the next one continues.
	Tokens []string
	// Attempts counts dispatches, and Failures those that broke off.
	Attempts int
	Failures int
	// Earlier is the intent of a former owner, whose fate must be found out;
	// the item must not be dispatched again.
	Earlier *Intent
	// Refused is the attempt of this owner's own intent that an engine refused
	// before start.
	Refused string
}

// AttemptID returns the id of the task's next dispatch. It names the epoch, so
// that two owners never use the same one.
func (t *Task) AttemptID() string {
	t.Attempts++
	held := t.chunk.held()
	return fmt.Sprintf("%s-%d-%d-%d-%d", held.Chunk.Job, held.Chunk.Number, t.Index, held.Chunk.Epoch, t.Attempts)
}

// Job returns the id of the job that the task is of.
func (t *Task) Job() string { return t.chunk.job.ID }

// Epoch returns the epoch of the ownership of the task's chunk.
func (t *Task) Epoch() int64 { return t.chunk.held().Chunk.Epoch }

// Context ends when the task's chunk is lost or its job has ended.
func (t *Task) Context() context.Context { return t.chunk.context }

// Service returns the service that runs the task.
func (t *Task) Service() string { return t.chunk.job.Service }

// Fingerprint identifies the item's content whatever its attempt.
func (t *Task) Fingerprint() quarantine.Fingerprint {
	return engine.GenerationFingerprint(t.Item.Body.Model, t.chunk.job.Tenant, t.Item.Body.Input())
}

// RequestID identifies the item in results.
func (t *Task) RequestID() string {
	return fmt.Sprintf("%s-%d", t.chunk.job.ID, t.chunk.number*t.chunk.job.ChunkSize+t.Index)
}

// result is a finished item that waits to be committed.
type result struct {
	index  int
	line   []byte
	failed bool
}

// activeChunk is a chunk that this worker holds. mutex guards the fields below
// it; only the chunk's committer writes to the store.
type activeChunk struct {
	job     Job
	number  int
	context context.Context
	cancel  context.CancelFunc
	wake    chan struct{}

	mutex   sync.Mutex
	state   HeldChunk
	waiting []*Task
	results []result
	// committing is the number of leading results in the segment that is being
	// committed. A retry must carry the same ones: the first try may have
	// taken effect.
	committing int
	oldest     time.Time
	sequence   int
	left       int
	// takenAt is when a task was last taken, or the chunk was claimed.
	takenAt time.Time
	done    bool
	lost    bool

	// storeMutex serializes writes of the chunk's row.
	storeMutex sync.Mutex
}

func (c *activeChunk) held() HeldChunk {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.state
}

func (c *activeChunk) assignment() AssignmentMessage {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return AssignmentMessage{Job: c.job.ID, Chunk: c.number, Done: c.done, Released: c.lost && !c.done}
}

// lose drops the chunk: its running tasks are cancelled and its results are
// not committed.
func (c *activeChunk) lose() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lost = true
	c.waiting = nil
	c.results = nil
	c.committing = 0
	c.cancel()
}

// stalled reports whether tasks wait, none runs and none was taken for a while:
// this daemon's engines have no room or are gone.
func (c *activeChunk) stalled(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	noneRuns := c.left == len(c.waiting)
	return !c.lost && len(c.waiting) > 0 && noneRuns && now.Sub(c.takenAt) > stalledAfter
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
	if c.lost {
		return
	}
	if len(c.results) == 0 {
		c.oldest = time.Now()
	}
	c.results = append(c.results, added)
	c.left--
	c.signal()
}

// takeResults returns the results to commit now, if it is time. Until they are
// committed it returns the same ones again.
func (c *activeChunk) takeResults(now time.Time) []result {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.committing > 0 {
		return c.results[:c.committing]
	}
	isFull := len(c.results) >= segmentItems || c.left == 0
	isOld := now.Sub(c.oldest) >= segmentMaxAge
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

// CompletionBody renders a finished answer as an OpenAI completion or chat
// completion, by endpoint.
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

// successLine renders the result line of a completed task.
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

// failureLine renders the result line of a task that failed for good.
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
