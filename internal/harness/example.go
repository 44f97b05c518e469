package harness

import (
	"fmt"
	"strings"

	"topazpulley/internal/emulator"
)

// ExampleKey is the API key of the example bundle's tenant.
const ExampleKey = "example-key"

// Services and model of the example bundle.
const (
	ExampleModel        = "assistant-small"
	ExamplePlainService = "meter"
	exampleModelService = "assistant"
)

// ExampleBundle returns a bundle with one model service, one plain service and
// one tenant.
func ExampleBundle(version string) string {
	return fmt.Sprintf(`# Example bundle: one model service and one plain service.
name = "example"

[services.%s]
kind = "model"
models = ["%s"]

[services.%s.policy]
online_limit = 24
batch_window_max = 16
batch_guard = 4
queue_timeout = "500ms"
request_timeout = "60s"

[services.%s]
kind = "plain"

[models.%s]
version = "%s"

[tenants.example]
key_digest = "%s"
`, exampleModelService, ExampleModel, exampleModelService, ExamplePlainService, ExampleModel, version, KeyDigest(ExampleKey))
}

// ExampleEngines returns groups of engines for the example bundle.
func ExampleEngines(modelEngines, plainEngines int, timeScale float64) []EngineGroup {
	model := emulator.DefaultEngineModel()
	model.TimeScale = timeScale
	return []EngineGroup{
		{Service: exampleModelService, Count: modelEngines, Model: model},
		{Service: ExamplePlainService, Plain: true, Count: plainEngines, Model: model},
	}
}

// ExampleItems returns a JSONL batch input of n completion items.
func ExampleItems(n, maxTokens int) string {
	lines := strings.Builder{}
	for index := range n {
		fmt.Fprintf(&lines, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":"%s","prompt":"%s","max_tokens":%d}}`+"\n",
			index, ExampleModel, ExamplePrompt(index), maxTokens)
	}
	return lines.String()
}

// ExamplePrompt returns the prompt of the example item with an index.
func ExamplePrompt(index int) string {
	return fmt.Sprintf("substation reading %d: report the pressure", index)
}
