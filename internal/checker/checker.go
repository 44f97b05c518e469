// Package checker compares what callers got and what is readable with what the
// emulated engines answer. It knows nothing of the system's own counters.
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

// Results are the visible result lines of a job by custom id.
type Results map[string][]batch.ResultLine

// ParseResults reads the lines of output and error files.
func ParseResults(contents ...[]byte) (Results, error) {
	results := Results{}
	for _, content := range contents {
		for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
			if line == "" {
				continue
			}
			result := batch.ResultLine{}
			if err := json.Unmarshal([]byte(line), &result); err != nil {
				return nil, failure.Wrap(err, failure.KindInternal, "bad_result", "a result is not JSON")
			}
			results[result.CustomID] = append(results[result.CustomID], result)
		}
	}
	return results, nil
}

// ReadResults reads all visible results of a job.
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

// Expected is the whole answer of an emulated engine to a prompt.
func Expected(prompt string, tokens int) string {
	return engine.JoinTokens(emulator.OutputTokens(prompt, tokens))
}

// completion is the part of a result's body that is checked.
type completion struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// Single returns the one result of an item; none or several are a failure.
func (r Results) Single(id string) (batch.ResultLine, error) {
	if len(r[id]) != 1 {
		return batch.ResultLine{}, failure.New(failure.KindInternal, "not_exactly_once", "item %q has %d results", id, len(r[id]))
	}
	return r[id][0], nil
}

// CheckAnswer verifies that a result is the whole answer to the prompt.
func CheckAnswer(line batch.ResultLine, prompt string, tokens int) error {
	if line.Error != nil || line.Response == nil {
		return failure.New(failure.KindInternal, "item_failed", "item %q ended with %+v", line.CustomID, line.Error)
	}
	body := completion{}
	if err := json.Unmarshal(line.Response.Body, &body); err != nil || len(body.Choices) != 1 {
		return failure.New(failure.KindInternal, "bad_result", "the body of item %q is not a completion", line.CustomID)
	}
	return CheckText(body.Choices[0].Text, prompt, tokens)
}

// CheckText verifies that a text is the whole answer to the prompt.
func CheckText(text, prompt string, tokens int) error {
	if expected := Expected(prompt, tokens); text != expected {
		return failure.New(failure.KindInternal, "wrong_answer", "answer %q is not %q", text, expected)
	}
	return nil
}

// Stream asks for one streamed answer and verifies that it is whole and the
// prompt's own.
func Stream(caller *client.Client, request client.Completion, deadline time.Duration, headers ...client.Header) error {
	text := strings.Builder{}
	if err := caller.Stream(request, deadline, func(piece string) { text.WriteString(piece) }, headers...); err != nil {
		return err
	}
	return CheckText(text.String(), request.Prompt, request.MaxTokens)
}

// StartedTimes counts by prompt how often engines started it.
func StartedTimes(entries []emulator.LedgerEntry) map[string]int {
	started := map[string]int{}
	for _, entry := range entries {
		started[entry.Prompt]++
	}
	return started
}
