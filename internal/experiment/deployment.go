// Package experiment measures batch throughput and the effect of batch work on the
// online tail latency. It runs daemons against emulated engines over loopback, under
// a synthetic load. Run measures policies; Report renders the results.
package experiment

import (
	"fmt"
	"strings"
	"time"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

// Deployment describes one user's fleet and load.
type Deployment struct {
	Name         string
	Zones        []string
	ModelEngines int
	// BaseRate and BurstRate are online requests per second. A burst of
	// BurstLength starts every BurstEvery.
	BaseRate    float64
	BurstRate   float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	// A job of JobItems batch items is submitted every JobInterval.
	JobItems    int
	JobInterval time.Duration
	// LongShare is the share of prompts of longLength.
	LongShare float64
	// Window and Guard are the settings batch_window_max and batch_guard.
	Window int
	Guard  int
	// MaxLatencyRatio is the upper limit of Row.LatencyRatio, MinBatchShare the lower
	// limit of Row.BatchShare.
	MaxLatencyRatio float64
	MinBatchShare   float64
}

// Deployments are the known deployments by name.
var Deployments = map[string]Deployment{
	"mwangaza": {
		Name: "mwangaza", Zones: []string{"kurasini", "ubungo", "mbezi"}, ModelEngines: 12,
		BaseRate: 60, BurstRate: 160, BurstEvery: 10 * time.Second, BurstLength: 3 * time.Second,
		JobItems: 4000, JobInterval: 10 * time.Second, LongShare: 0.1, Window: 24, Guard: 24,
		MaxLatencyRatio: 1.15, MinBatchShare: 0.9,
	},
	"palermo": {
		Name: "palermo", Zones: []string{"monreale", "alcamo", "mazara"}, ModelEngines: 20,
		BaseRate: 100, BurstRate: 260, BurstEvery: 10 * time.Second, BurstLength: 3 * time.Second,
		JobItems: 6000, JobInterval: 10 * time.Second, LongShare: 0.05, Window: 18, Guard: 18,
		MaxLatencyRatio: 1.05, MinBatchShare: 0.8,
	},
}

const (
	modelName    = "model"
	serviceName  = "assistant"
	plainName    = "plain"
	plainEngines = 3
	apiKey       = "experiment-key"
	prefixCount  = 8
	prefixLength = 1024
	shortLength  = 400
	longLength   = 12000
	minTokens    = 24
	maxTokens    = 96
	batchTokens  = 48
	unlimited    = 1 << 16
)

// bundleText returns a bundle with the given batch_window_max and batch_guard.
func bundleText(window, guard int) string {
	return fmt.Sprintf(`name = "experiment"
[services.%s]
kind = "model"
models = ["%s"]
[services.%s.policy]
online_limit = 40
batch_window_max = %d
batch_guard = %d
queue_timeout = "1s"
[services.%s]
kind = "plain"
[models.%s]
version = "1"
[tenants.team]
key_digest = "%s"
`, serviceName, modelName, serviceName, window, guard, plainName, modelName, harness.KeyDigest(apiKey))
}

func (d Deployment) engines() []harness.EngineGroup {
	model := emulator.DefaultEngineModel()
	return []harness.EngineGroup{
		{Service: serviceName, Count: d.ModelEngines, Model: model},
		{Service: plainName, Plain: true, Count: plainEngines, Model: model},
	}
}

// prefixText returns the shared prompt prefix with the given index.
func prefixText(index int) string {
	return strings.Repeat(fmt.Sprintf("shared instructions %d; ", index), prefixLength/20)[:prefixLength]
}

func unknownDeployment(name string) error {
	return failure.New(failure.KindInvalid, "unknown_deployment", "deployment must be mwangaza or palermo, not %q", name)
}
