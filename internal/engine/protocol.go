// Package engine is the client side of the engines: the protocol, an HTTP
// client and the classification of outcomes. A real engine with another
// protocol needs one new file beside client.go.
package engine

import (
	"encoding/json"
	"strings"

	"topazpulley/internal/quarantine"
)

// Paths of the engines' HTTP protocol.
const (
	PathGenerate = "/v1/generate"
	PathAttempts = "/v1/attempts/"
	PathLoad     = "/v1/load"
	PathOrders   = "/v1/orders"
	PathCall     = "/call"
)

// Headers of the plain-service protocol.
const (
	HeaderAttempt = "X-Attempt-Id"
	HeaderPath    = "X-Call-Path"
	HeaderMethod  = "X-Call-Method"
)

// Priority orders work inside an engine.
type Priority string

// The priorities, the higher first.
const (
	PriorityOnline Priority = "online"
	PriorityBatch  Priority = "batch"
)

// GenerateRequest asks an engine to generate tokens.
type GenerateRequest struct {
	// AttemptID is unique per dispatch; the engine echoes it and refuses a
	// second request with the same one.
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	// Input is the prompt or the list of chat messages.
	Input     json.RawMessage `json:"input"`
	MaxTokens int             `json:"max_tokens"`
	Priority  Priority        `json:"priority"`
	// Continue holds tokens that an earlier attempt produced; generation goes
	// on after them and token indexes count from their number.
	Continue []string `json:"continue,omitempty"`
	// Fingerprint identifies the request's content whatever its attempt; engines are
	// not told.
	Fingerprint quarantine.Fingerprint `json:"-"`
	// IsOnce tells that the request may not be sent again: the attempt goes on when its
	// caller does not wait for it, and may be resumed. Engines are not told.
	IsOnce bool `json:"-"`
}

// Event is one server-sent event of a generation.
type Event struct {
	AttemptID string `json:"attempt_id"`
	// Index is the position of the token in the whole answer.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// End marks the last event; Count then states the number of tokens of the
	// whole answer.
	End          bool   `json:"end,omitempty"`
	Count        int    `json:"count,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
}

// Finish reasons.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// CompleteEvent is the end of an answer whose tokens all came although its end
// marker was lost: the token limit was reached, so nothing is left to ask for.
func CompleteEvent(tokens []string) Event {
	return Event{End: true, Count: len(tokens), FinishReason: FinishLength}
}

// State is the life cycle of an engine as it reports it.
type State string

// The states of an engine.
const (
	StateReady    State = "ready"
	StateLoading  State = "loading"
	StateDraining State = "draining"
)

// LoadReport is what an engine says of itself; it lags.
type LoadReport struct {
	State         State    `json:"state"`
	OnlineRunning int      `json:"online_running"`
	OnlineWaiting int      `json:"online_waiting"`
	BatchRunning  int      `json:"batch_running"`
	BatchWaiting  int      `json:"batch_waiting"`
	KVUsed        int      `json:"kv_used"`
	KVCapacity    int      `json:"kv_capacity"`
	Fence         int64    `json:"fence"`
	Models        []string `json:"models"`
}

// LoadedModel names a model in a version as "name@version".
func LoadedModel(name, version string) string { return name + "@" + version }

// Order tells an engine what to load. An engine refuses an order whose fence
// is lower than the highest it has accepted.
type Order struct {
	Fence  int64    `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// Refusal is the body of an answer by which an engine declines to start work.
type Refusal struct {
	Code string `json:"code"`
}

// Refusal codes. All but RefusalAttemptExists promise that the work did not
// start.
const (
	RefusalDraining      = "draining"
	RefusalLoading       = "loading"
	RefusalFull          = "full"
	RefusalNoModel       = "no_model"
	RefusalStaleFence    = "stale_fence"
	RefusalAttemptExists = "attempt_exists"
	RefusalBadRequest    = "bad_request"
)

// PromptText flattens an input into the text that the model reads: a JSON
// string stands for itself, anything else for its JSON.
func PromptText(input json.RawMessage) string {
	var text string
	if json.Unmarshal(input, &text) == nil {
		return text
	}
	return string(input)
}

// bytesPerToken is the assumed mean length of a prompt token.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens in a prompt.
func EstimateTokens(input json.RawMessage) int { return len(input)/bytesPerToken + 1 }

// JoinTokens concatenates the tokens of an answer.
func JoinTokens(tokens []string) string { return strings.Join(tokens, "") }
