// Package checker compares the answers and batch results that callers receive with
// the answers that the emulated engines give. It does not use the system's own counters.
package checker

import (
	"encoding/json"
	"strings"
	"time"

	"topazpulley/internal/batch"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
)

// Results contains the result lines of a job by custom id.
type Results map[string][]batch.ResultLine

// ParseResults parses the contents of output and error files.
func ParseResults(contents ...[]byte) (Results, error) {
	results := Results{}
	for _, content := range contents {
		for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
			if line == "" {
				continue
			}
			result := batch.ResultLine{}
			if err := json.Unmarshal([]byte(line), &result); err != nil {
				return nil, failure.Wrap(err, failure.KindInternal, "bad_result", "a result line is not valid JSON")
			}
			results[result.CustomID] = append(results[result.CustomID], result)
		}
	}
	return results, nil
}

// ReadResults reads a job's output and error files.
func ReadResults(caller *client.Client, job string) (Results, error) {
	present, err := caller.Batch(job)
	if err != nil {
		return nil, err
	}
	output, err := caller.FileContent(present.OutputFileID)
	if err != nil {
		return nil, err
	}
	failed, err := caller.FileContent(present.ErrorFileID)
	if err != nil {
		return nil, err
	}
	return ParseResults(output, failed)
}

// Expected returns the complete answer of an emulated engine to a prompt.
func Expected(prompt string, tokens int) string {
	return engine.JoinTokens(emulator.OutputTokens(prompt, tokens))
}

// completion is the part of a result's body that is checked.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Single returns the only result of an item. No result or several are an error.
func (r Results) Single(id string) (batch.ResultLine, error) {
	if len(r[id]) != 1 {
		return batch.ResultLine{}, failure.New(failure.KindInternal, "not_exactly_once", "item %q has %d results", id, len(r[id]))
	}
	return r[id][0], nil
}

// CheckAnswer returns an error unless a result is the complete answer to the prompt.
func CheckAnswer(line batch.ResultLine, prompt string, tokens int) error {
	if line.Error != nil || line.Response == nil {
		return failure.New(failure.KindInternal, "item_failed", "item %q failed: %+v", line.CustomID, line.Error)
	}
	body := completion{}
	if err := json.Unmarshal(line.Response.Body, &body); err != nil || len(body.Choices) != 1 {
		return failure.New(failure.KindInternal, "bad_result", "the body of item %q is not a completion", line.CustomID)
	}
	return CheckText(body.Choices[0].Text, prompt, tokens)
}

// CheckText returns an error unless a text is the complete answer to the prompt.
func CheckText(text, prompt string, tokens int) error {
	if expected := Expected(prompt, tokens); text != expected {
		return failure.New(failure.KindInternal, "wrong_answer", "got answer %q, expected %q", text, expected)
	}
	return nil
}

// Stream requests a streamed answer and returns an error unless it is the complete
// answer to the prompt.
func Stream(caller *client.Client, request client.Completion, deadline time.Duration, headers ...client.Header) error {
	text := strings.Builder{}
	if err := caller.Stream(request, deadline, func(piece string) { text.WriteString(piece) }, headers...); err != nil {
		return err
	}
	return CheckText(text.String(), request.Prompt, request.MaxTokens)
}

// StartedTimes returns for each prompt how often engines started it.
func StartedTimes(entries []emulator.LedgerEntry) map[string]int {
	started := map[string]int{}
	for _, entry := range entries {
		started[entry.Prompt]++
	}
	return started
}
