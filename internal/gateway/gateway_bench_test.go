package gateway_test

import (
	"log/slog"
	"testing"
	"time"

	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/harness"
)

// BenchmarkPlainCall measures one call of a plain service through a daemon to an
// emulated engine.
func BenchmarkPlainCall(b *testing.B) {
	caller := startBench(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := caller.Call("POST", "/v1/services/"+harness.ExamplePlainService+"/x", []byte("body")); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStream measures one short streamed completion through a daemon.
func BenchmarkStream(b *testing.B) {
	caller := startBench(b)
	b.ReportAllocs()
	for b.Loop() {
		request := client.Completion{Model: harness.ExampleModel, Prompt: "bench", MaxTokens: 8}
		if err := caller.Stream(request, time.Minute, func(string) {}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkStreamParallel measures short streamed completions from concurrent
// callers.
func BenchmarkStreamParallel(b *testing.B) {
	caller := startBench(b)
	b.ReportAllocs()
	b.SetParallelism(4)
	b.RunParallel(func(each *testing.PB) {
		for each.Next() {
			request := client.Completion{Model: harness.ExampleModel, Prompt: "bench", MaxTokens: 8}
			if err := caller.Stream(request, time.Minute, func(string) {}); err != nil {
				b.Error(err)
			}
		}
	})
}

func startBench(b *testing.B) *client.Client {
	model := emulator.DefaultEngineModel()
	model.TimeScale = 0.01
	model.MaxRunning = 256
	running, err := harness.Start(harness.Config{
		Zones: []string{"a"}, Region: "r", DaemonsPerZone: 1, Host: "127.0.0.1",
		Engines:    []harness.EngineGroup{{Service: "assistant", Count: 4, Model: model}, {Service: harness.ExamplePlainService, Plain: true, Count: 2, Model: model}},
		BundleText: harness.ExampleBundle("1"), ProbeInterval: time.Second, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(running.Stop)
	return running.Caller(0, harness.ExampleKey)
}
