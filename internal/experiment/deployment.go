// Package experiment measures what the users measure: batch throughput and the
// harm that batch work does to the online latency tail. It runs the real
// daemons against emulated engines over loopback, with load in the shape of
// the brief.
package experiment

import (
	"fmt"
	"strings"
	"time"

	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

// Deployment is the shape of one user's fleet and load.
type Deployment struct {
	Name         string
	Zones        []string
	ModelEngines int
	// BaseRate and BurstRate are online requests a second; a burst of
	// BurstLength begins every BurstEvery.
	BaseRate    float64
	BurstRate   float64
	BurstEvery  time.Duration
	BurstLength time.Duration
	// HeapItems batch items arrive every HeapEvery.
	HeapItems int
	HeapEvery time.Duration
	// LongShare is the share of prompts that are long.
	LongShare float64
	// Window and Guard are the batch policy that the deployment chose.
	Window int
	Guard  int
	// HarmGoal bounds the ratio of the online p99 time to first token with
	// batch to that without; ThroughputGoal is the share of idle capacity.
	HarmGoal       float64
	ThroughputGoal float64
}

// Deployments are the two of the brief.
var Deployments = map[string]Deployment{
	"mwangaza": {
		Name: "mwangaza", Zones: []string{"kurasini", "ubungo", "mbezi"}, ModelEngines: 12,
		BaseRate: 60, BurstRate: 160, BurstEvery: 10 * time.Second, BurstLength: 3 * time.Second,
		HeapItems: 4000, HeapEvery: 10 * time.Second, LongShare: 0.1, Window: 24, Guard: 24,
		HarmGoal: 1.15, ThroughputGoal: 0.9,
	},
	"palermo": {
		Name: "palermo", Zones: []string{"monreale", "alcamo", "mazara"}, ModelEngines: 20,
		BaseRate: 100, BurstRate: 260, BurstEvery: 10 * time.Second, BurstLength: 3 * time.Second,
		HeapItems: 6000, HeapEvery: 10 * time.Second, LongShare: 0.05, Window: 18, Guard: 18,
		HarmGoal: 1.05, ThroughputGoal: 0.8,
	},
}

const (
	modelName     = "model"
	serviceName   = "assistant"
	plainName     = "plain"
	plainEngines  = 3
	apiKey        = "experiment-key"
	prefixCount   = 8
	prefixLength  = 1024
	shortLength   = 400
	longLength    = 12000
	minTokens     = 24
	maxTokens     = 96
	batchTokens   = 48
	unlimitedSize = 1 << 16
)

// bundleText returns the bundle of a deployment under a policy.
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

// prefixText is one of the shared prompt prefixes.
func prefixText(index int) string {
	return strings.Repeat(fmt.Sprintf("shared instructions %d; ", index), prefixLength/20)[:prefixLength]
}

func unknownDeployment(name string) error {
	return failure.New(failure.KindInvalid, "unknown_deployment", "deployment must be mwangaza or palermo, not %q", name)
}
