package harness_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/bundle"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
	"topazpulley/internal/revision"
)

// TestStockOpenAIClient checks that the unmodified OpenAI client works with a daemon.
func TestStockOpenAIClient(t *testing.T) {
	running := start(t, []string{"a"}, 1, 2)
	api := openai.NewClient(option.WithBaseURL("http://"+running.Daemons[0].HTTPAddress()+"/v1"), option.WithAPIKey(harness.ExampleKey), option.WithMaxRetries(0))
	parameters := openai.ChatCompletionNewParams{
		Model: harness.ExampleModel, MaxTokens: openai.Int(12),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Which scale comes next?")},
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	complete, err := api.Chat.Completions.New(ctx, parameters)
	require.NoError(t, err)
	require.NotEmpty(t, complete.Choices[0].Message.Content)
	require.Equal(t, int64(12), complete.Usage.CompletionTokens)
	stream := api.Chat.Completions.NewStreaming(ctx, parameters)
	text := strings.Builder{}
	for stream.Next() {
		if choices := stream.Current().Choices; len(choices) > 0 {
			text.WriteString(choices[0].Delta.Content)
		}
	}
	require.NoError(t, stream.Err())
	require.Equal(t, complete.Choices[0].Message.Content, text.String())
	models, err := api.Models.List(ctx)
	require.NoError(t, err)
	require.Equal(t, harness.ExampleModel, models.Data[0].ID)
	file, err := api.Files.New(ctx, openai.FileNewParams{File: strings.NewReader(harness.ExampleItems(20, 4)), Purpose: openai.FilePurposeBatch})
	require.NoError(t, err)
	job, err := api.Batches.New(ctx, openai.BatchNewParams{InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1Completions, CompletionWindow: openai.BatchNewParamsCompletionWindow24h})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		job, err = api.Batches.Get(ctx, job.ID)
		return err == nil && job.Status == openai.BatchStatusCompleted
	}, waitTimeout, pollInterval)
	require.Equal(t, int64(20), job.RequestCounts.Completed)
}

func TestBadRequestErrorCodes(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	caller := running.Caller(0, harness.ExampleKey)
	post := func(path, body string, headers ...client.Header) *failure.Error {
		_, err := caller.Call("POST", path, []byte(body), headers...)
		return failure.From(err)
	}
	good := fmt.Sprintf(`{"model":"%s","prompt":"p"}`, harness.ExampleModel)
	cases := []struct {
		name, path, body, code string
		headers                []client.Header
	}{
		{"truncated", "/v1/completions", `{"model":`, "bad_json", nil},
		{"wrong type", "/v1/completions", `{"model":7}`, "bad_json", nil},
		{"no prompt", "/v1/completions", fmt.Sprintf(`{"model":"%s"}`, harness.ExampleModel), "no_prompt", nil},
		{"unknown model", "/v1/completions", `{"model":"none","prompt":"p"}`, "unknown_model", nil},
		{"absurd limit", "/v1/completions", fmt.Sprintf(`{"model":"%s","prompt":"p","max_tokens":99999999}`, harness.ExampleModel), "bad_max_tokens", nil},
		{"bad deadline", "/v1/completions", good, "bad_deadline", []client.Header{{Name: gateway.HeaderDeadline, Value: "soon"}}},
		{"long key", "/v1/completions", good, "bad_idempotency_key", []client.Header{{Name: gateway.HeaderIdempotencyKey, Value: strings.Repeat("k", 300)}}},
		{"unknown service", "/v1/services/none/x", "", "unknown_service", nil},
		{"unknown file", "/v1/batches", `{"input_file_id":"none","endpoint":"/v1/completions"}`, "no_file", nil},
		{"bad window", "/v1/batches", `{"input_file_id":"x","endpoint":"/v1/completions","completion_window":"never"}`, "bad_completion_window", nil},
		{"no path", "/v1/nothing", "", "no_path", nil},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			err := post(each.path, each.body, each.headers...)
			require.Equal(t, each.code, err.Code)
			require.True(t, err.NotRun)
		})
	}
	_, err := running.Caller(0, "wrong key").Batch("x")
	require.Equal(t, "bad_key", failure.From(err).Code)
	_, err = running.Caller(0, harness.ExampleKey).Status()
	require.Equal(t, "bad_operator_token", failure.From(err).Code)
	require.Empty(t, running.Fleet.Ledger(), "a rejected request was run")
}

func TestOversizedBodyRejected(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	address := running.Daemons[0].HTTPAddress()
	connection, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(connection, "POST /v1/files HTTP/1.1\r\nHost: x\r\nContent-Length: 9999999999\r\n\r\n")
	require.NoError(t, err)
	answer := make([]byte, 1024)
	count, err := connection.Read(answer)
	require.NoError(t, err)
	require.Contains(t, string(answer[:count]), "413")
}

// TestDisconnectCancelsStream checks that a closed connection cancels the engine's stream.
func TestDisconnectCancelsStream(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	body := fmt.Sprintf(`{"model":"%s","prompt":"leaving","max_tokens":5000,"stream":true}`, harness.ExampleModel)
	connection, err := net.Dial("tcp", running.Daemons[0].HTTPAddress())
	require.NoError(t, err)
	_, err = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", harness.ExampleKey, len(body), body)
	require.NoError(t, err)
	_, err = connection.Read(make([]byte, 256))
	require.NoError(t, err)
	require.NoError(t, connection.Close())
	require.Eventually(t, func() bool {
		ledger := running.Fleet.Ledger()
		return len(ledger) == 1 && ledger[0].Finish == engine.FinishCancelled
	}, waitTimeout, pollInterval)
}

// TestDisconnectCancelsUnstreamedRequest checks that a closed connection
// cancels a request without streaming, and that a request with an idempotency key continues
// because its answer can be read later.
func TestDisconnectCancelsUnstreamedRequest(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	leave := func(prompt string, tokens int, fields string) {
		body := fmt.Sprintf(`{"model":"%s","prompt":"%s","max_tokens":%d}`, harness.ExampleModel, prompt, tokens)
		before := len(running.Fleet.Ledger())
		connection, err := net.Dial("tcp", running.Daemons[0].HTTPAddress())
		require.NoError(t, err)
		_, err = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s", harness.ExampleKey, fields, len(body), body)
		require.NoError(t, err)
		require.Eventually(t, func() bool { return len(running.Fleet.Ledger()) > before }, waitTimeout, pollInterval)
		require.NoError(t, connection.Close())
	}
	finish := func(prompt string) string {
		for _, each := range running.Fleet.Ledger() {
			if strings.Contains(each.Prompt, prompt) {
				return each.Finish
			}
		}
		return ""
	}
	leave("leaving", 60000, "")
	require.Eventually(t, func() bool { return finish("leaving") == engine.FinishCancelled }, waitTimeout/4, pollInterval)
	leave("coming back", 1500, gateway.HeaderIdempotencyKey+": key\r\n"+gateway.HeaderRepeatable+": false\r\n")
	require.Eventually(t, func() bool { return finish("coming back") != "" }, waitTimeout, pollInterval)
	require.NotEqual(t, engine.FinishCancelled, finish("coming back"))
	require.Eventually(t, func() bool {
		_, err := running.Caller(0, harness.ExampleKey).Call("GET", "/v1/requests/key", nil)
		return err == nil
	}, waitTimeout, pollInterval)
}

func TestInvalidBundleChangeRejected(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	operator := running.Operator(0)
	before, err := operator.Status()
	require.NoError(t, err)
	text := harness.ExampleBundle("2")
	signed := []bundle.Signature{bundle.Sign(text, harness.OperatorName, running.SigningKey)}
	cases := map[string]gateway.ChangeRequest{
		"too_few_signatures":  {Kind: revision.KindAccept, Text: text},
		"bad_signature":       {Kind: revision.KindAccept, Text: text + " ", Signatures: signed},
		"unknown_key":         {Kind: revision.KindAccept, Text: text + "\nnonsense = 1\n", Signatures: signed},
		"bundle_not_accepted": {Kind: revision.KindRoll, Digest: bundle.Digest(text)},
		"bundle_not_active":   {Kind: revision.KindWithdraw, Digest: bundle.Digest(text)},
		"bad_kind":            {Kind: "strange"},
		"revision_overtaken":  {Kind: revision.KindAccept, Text: text, Signatures: signed, Base: 1},
	}
	for code, request := range cases {
		t.Run(code, func(t *testing.T) {
			request.Operator = harness.OperatorName
			if request.Base == 0 {
				request.Base = -1
			}
			_, err := operator.Change(request)
			require.Equal(t, code, failure.From(err).Code)
		})
	}
	after, err := operator.Status()
	require.NoError(t, err)
	require.Equal(t, before.Revision, after.Revision)
}

// TestFallbackToOtherZone checks that a zone without a working
// engine forwards requests to another zone.
func TestFallbackToOtherZone(t *testing.T) {
	running := start(t, []string{"a", "b"}, 1, 2)
	lost, known := running.Fleet.Engine("assistant-00")
	require.True(t, known)
	lost.SetFaults(emulator.EngineFaults{Crashed: true})
	caller := running.Caller(0, harness.ExampleKey)
	require.Eventually(t, func() bool {
		return ask(caller, "spill", 8) == nil
	}, waitTimeout, pollInterval)
}

// TestIdempotencyKeyReturnsStoredAnswer checks that a repeated idempotency key returns the stored
// answer without a second run, and that other content under the same key is a conflict.
func TestIdempotencyKeyReturnsStoredAnswer(t *testing.T) {
	running := start(t, []string{"a"}, 2, 1)
	askKeyed := func(daemon int, prompt string) error {
		return ask(running.Caller(daemon, harness.ExampleKey), prompt, 6, client.Header{Name: gateway.HeaderIdempotencyKey, Value: "key"})
	}
	require.NoError(t, askKeyed(0, "keyed"))
	require.NoError(t, askKeyed(1, "keyed"))
	require.Len(t, running.Fleet.Ledger(), 1)
	require.Equal(t, "key_reused", failure.From(askKeyed(1, "other")).Code)
	content, err := running.Caller(1, harness.ExampleKey).Call("GET", "/v1/requests/key", nil)
	require.NoError(t, err)
	require.Contains(t, string(content), strings.TrimSpace(emulator.OutputToken("keyed", 0)))
}

// TestForeignAnswersDropped checks that no caller receives an answer of another attempt
// when engines put a wrong attempt id on half of their answers.
func TestForeignAnswersDropped(t *testing.T) {
	running := start(t, []string{"a"}, 1, 3)
	for _, name := range []string{"assistant-00", "assistant-01", "assistant-02"} {
		crossed, known := running.Fleet.Engine(name)
		require.True(t, known)
		crossed.SetFaults(emulator.EngineFaults{WrongIDShare: 0.5})
	}
	caller := running.Caller(0, harness.ExampleKey)
	for index := range 20 {
		require.NoError(t, ask(caller, fmt.Sprintf("crossed %d", index), 4))
	}
	content, err := running.Caller(0, "").Call("GET", "/metrics", nil)
	require.NoError(t, err)
	require.NotContains(t, string(content), "topazpulley_foreign_answers_total 0\n", "no foreign answer was counted")
}

// TestStoredAnswerSurvivesDaemonLossDuringOutage checks that an answer produced during a
// platform outage is readable after the outage even if its daemon was killed.
func TestStoredAnswerSurvivesDaemonLossDuringOutage(t *testing.T) {
	running := start(t, []string{"a", "b"}, 1, 2)
	running.Platform.SetFaults(emulator.PlatformFaults{Down: true})
	key := client.Header{Name: gateway.HeaderIdempotencyKey, Value: "outage"}
	require.NoError(t, ask(running.Caller(0, harness.ExampleKey), "kept", 6, key))
	require.NoError(t, running.Daemons[0].Kill())
	running.Platform.SetFaults(emulator.PlatformFaults{})
	require.Eventually(t, func() bool {
		content, err := running.Caller(1, harness.ExampleKey).Call("GET", "/v1/requests/outage", nil)
		return err == nil && strings.Contains(string(content), strings.TrimSpace(emulator.OutputToken("kept", 0)))
	}, waitTimeout, pollInterval)
}

// TestIncompleteBodyTimesOut checks that the daemon closes a connection whose request body is
// never completed.
func TestIncompleteBodyTimesOut(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	connection, err := net.Dial("tcp", running.Daemons[0].HTTPAddress())
	require.NoError(t, err)
	defer func() { _ = connection.Close() }()
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	_, err = fmt.Fprintf(connection, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
	require.NoError(t, err)
	_, err = io.ReadAll(connection)
	require.NoError(t, err, "the daemon did not close the connection")
	require.Empty(t, running.Fleet.Ledger())
}
