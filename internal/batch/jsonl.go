package batch

import (
	"bytes"
	"encoding/json"

	"topazpulley/internal/failure"
)

// Limits on uploaded files.
const (
	MaxLineBytes = 1 << 20
	MaxItems     = 1_000_000
	MaxTokens    = 1 << 16
)

// defaultMaxTokens is the token limit of an item without max_tokens.
const defaultMaxTokens = 64

// Endpoints that a batch may call.
const (
	EndpointCompletions     = "/v1/completions"
	EndpointChatCompletions = "/v1/chat/completions"
)

// Item is one line of a batch input file.
type Item struct {
	CustomID string   `json:"custom_id"`
	Method   string   `json:"method"`
	URL      string   `json:"url"`
	Body     ItemBody `json:"body"`
	// Repeatable is false for an item that must run at most once.
	Repeatable *bool `json:"repeatable,omitempty"`
}

// ItemBody contains the fields of an item's request body that are used.
type ItemBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt,omitempty"`
	Messages  json.RawMessage `json:"messages,omitempty"`
	MaxTokens int             `json:"max_tokens,omitempty"`
}

// Input returns the prompt or the messages.
func (b ItemBody) Input() json.RawMessage {
	if len(b.Prompt) > 0 {
		return b.Prompt
	}
	return b.Messages
}

// TokenLimit returns the item's token limit or the default.
func (b ItemBody) TokenLimit() int {
	if b.MaxTokens == 0 {
		return defaultMaxTokens
	}
	return b.MaxTokens
}

// MayRepeat reports whether the item may run more than once.
func (i Item) MayRepeat() bool { return i.Repeatable == nil || *i.Repeatable }

// Input is a parsed batch input file.
type Input struct {
	Items int
	// Models are the distinct models of the items.
	Models []string
	// LineEnds are the byte offsets after each item's line.
	LineEnds []int64
}

// ParseInput validates every line of a batch input file for an endpoint. The
// error for an invalid line includes the line number.
func ParseInput(content []byte, endpoint string) (Input, error) {
	parsed := Input{}
	seen := map[string]int{}
	models := map[string]bool{}
	err := forEachLine(content, func(number int, line []byte, end int64) error {
		item, err := ParseItem(line, endpoint)
		if err != nil {
			return failure.From(err).WithLine(number)
		}
		if first, duplicate := seen[item.CustomID]; duplicate {
			return badLine("duplicate_custom_id", "custom_id %q is already used on line %d", item.CustomID, first).WithLine(number)
		}
		seen[item.CustomID] = number
		if !models[item.Body.Model] {
			models[item.Body.Model] = true
			parsed.Models = append(parsed.Models, item.Body.Model)
		}
		parsed.LineEnds = append(parsed.LineEnds, end)
		parsed.Items++
		if parsed.Items > MaxItems {
			return failure.New(failure.KindTooLarge, "too_many_items", "a job can have at most %d items: split the file", MaxItems).WithLine(number)
		}
		return nil
	})
	if err == nil && parsed.Items == 0 {
		err = badLine("empty_file", "the file has no items")
	}
	return parsed, err
}

func badLine(code, format string, arguments ...any) *failure.Error {
	return failure.New(failure.KindInvalid, code, format, arguments...)
}

// forEachLine calls visit for each non-empty line with its 1-based number and the
// byte offset after it.
func forEachLine(content []byte, visit func(number int, line []byte, end int64) error) error {
	offset, number := 0, 0
	for offset < len(content) {
		number++
		length := bytes.IndexByte(content[offset:], '\n')
		next := offset + length + 1
		if length < 0 {
			length = len(content) - offset
			next = len(content)
		}
		line := bytes.TrimSpace(content[offset : offset+length])
		offset = next
		if len(line) == 0 {
			continue
		}
		if err := visit(number, line, int64(next)); err != nil {
			return err
		}
	}
	return nil
}

// ParseItem parses and validates one line for an endpoint.
func ParseItem(line []byte, endpoint string) (Item, error) {
	item := Item{}
	if len(line) > MaxLineBytes {
		return item, failure.New(failure.KindTooLarge, "line_too_long", "a line can have at most %d bytes", MaxLineBytes)
	}
	if err := json.Unmarshal(line, &item); err != nil {
		return item, failure.Wrap(err, failure.KindInvalid, "bad_json", "the line is not a JSON object of the expected types")
	}
	switch {
	case item.CustomID == "":
		return item, badLine("no_custom_id", "custom_id is required")
	case item.Method != "" && item.Method != "POST":
		return item, badLine("bad_method", "method must be POST")
	case item.URL != "" && item.URL != endpoint:
		return item, badLine("bad_url", "url must be the batch's endpoint %s", endpoint)
	case item.Body.Model == "":
		return item, badLine("no_model", "body.model is required")
	case item.Body.MaxTokens < 0 || item.Body.MaxTokens > MaxTokens:
		return item, badLine("bad_max_tokens", "max_tokens must be from 1 to %d", MaxTokens)
	}
	return item, checkItemInput(item.Body, endpoint)
}

func checkItemInput(body ItemBody, endpoint string) error {
	if endpoint == EndpointCompletions && len(body.Prompt) == 0 {
		return badLine("no_prompt", "body.prompt is required")
	}
	if endpoint == EndpointChatCompletions && len(body.Messages) == 0 {
		return badLine("no_messages", "body.messages is required")
	}
	if endpoint != EndpointCompletions && endpoint != EndpointChatCompletions {
		return badLine("bad_endpoint", "endpoint must be %s or %s", EndpointCompletions, EndpointChatCompletions)
	}
	return nil
}

// ParseChunk returns the items of a chunk's bytes.
func ParseChunk(content []byte, endpoint string) ([]Item, error) {
	items := []Item{}
	err := forEachLine(content, func(_ int, line []byte, _ int64) error {
		item, err := ParseItem(line, endpoint)
		items = append(items, item)
		return err
	})
	return items, err
}

// ManifestFor returns the chunk offsets of an input.
func ManifestFor(input Input, chunkSize int) Manifest {
	manifest := Manifest{Offsets: []int64{0}}
	for end := chunkSize; end < input.Items; end += chunkSize {
		manifest.Offsets = append(manifest.Offsets, input.LineEnds[end-1])
	}
	manifest.Offsets = append(manifest.Offsets, input.LineEnds[input.Items-1])
	return manifest
}
