// Package engine is the client for inference engines: the protocol, an HTTP
// client and the classification of outcomes. Client implements the protocol of
// the emulated engines; an engine with another protocol needs its own client.
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

// Priority determines the order in which an engine runs its work.
type Priority string

// The priorities, highest first.
const (
	PriorityOnline Priority = "online"
	PriorityBatch  Priority = "batch"
)

// GenerateRequest asks an engine to generate tokens.
type GenerateRequest struct {
	// AttemptID is unique per attempt. The engine returns it with each event and
	// refuses a second request with the same id.
	AttemptID string `json:"attempt_id"`
	Model     string `json:"model"`
	// Input is the prompt or the list of chat messages.
	Input     json.RawMessage `json:"input"`
	MaxTokens int             `json:"max_tokens"`
	Priority  Priority        `json:"priority"`
	// Continue contains the tokens that an earlier attempt produced. Generation
	// continues after them, and the first new token has the index len(Continue).
	Continue []string `json:"continue,omitempty"`
	// Fingerprint identifies the request's content; it is the same for each attempt.
	// It is not sent.
	Fingerprint quarantine.Fingerprint `json:"-"`
	// IsItem is set for an item of a batch. Items don't crash engines by themselves: a crash is
	// no evidence against them, and they are not refused because of a quarantine. It is not
	// sent.
	IsItem bool `json:"-"`
	// IsOnce means that the request may be sent only once: the attempt continues after
	// its caller stops waiting, and may be resumed. It is not sent.
	IsOnce bool `json:"-"`
}

// Event is one server-sent event of a generation.
type Event struct {
	AttemptID string `json:"attempt_id"`
	// Index is the position of the token in the complete answer.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// End marks the last event; Count is then the number of tokens in the complete
	// answer.
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

// CompleteEvent returns the last event of an answer that reached its token limit
// and whose end marker was lost.
func CompleteEvent(tokens []string) Event {
	return Event{End: true, Count: len(tokens), FinishReason: FinishLength}
}

// State is an engine's state as it reports it.
type State string

// The states of an engine.
const (
	StateReady    State = "ready"
	StateLoading  State = "loading"
	StateDraining State = "draining"
)

// LoadReport is an engine's own report of its state and load. It may be out of
// date.
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

// LoadedModel returns "name@version".
func LoadedModel(name, version string) string { return name + "@" + version }

// Order assigns models and a role to an engine. An engine refuses an order whose
// fence is lower than the highest that it has accepted.
type Order struct {
	Fence  int64    `json:"fence"`
	Models []string `json:"models"`
	Role   string   `json:"role"`
}

// Refusal is the body of an answer with which an engine refuses a request.
type Refusal struct {
	Code string `json:"code"`
}

// Refusal codes. With each of them but RefusalAttemptExists, the work did not
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

// PromptText returns the prompt of an input: the value of a JSON string, and the
// JSON text of anything else.
func PromptText(input json.RawMessage) string {
	var text string
	if json.Unmarshal(input, &text) == nil {
		return text
	}
	return string(input)
}

// bytesPerToken is the assumed mean length of a prompt token, in bytes.
const bytesPerToken = 4

// EstimateTokens estimates the number of tokens in a prompt.
func EstimateTokens(input json.RawMessage) int { return len(input)/bytesPerToken + 1 }

// JoinTokens concatenates the tokens of an answer.
func JoinTokens(tokens []string) string { return strings.Join(tokens, "") }
