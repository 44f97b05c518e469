package harness_test

import (
	"fmt"
	"log/slog"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/batch"
	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/harness"
	"topazpulley/internal/storage"
)

const (
	waitTimeout     = 60 * time.Second
	pollInterval    = 50 * time.Millisecond
	engineTimeScale = 0.1
)

func start(t *testing.T, zones []string, perZone, engines int) *harness.Harness {
	output := slog.New(slog.NewTextHandler(newLogTail(t), nil))
	if os.Getenv("TOPAZPULLEY_TEST_LOG") != "" {
		output = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	running, err := harness.Start(harness.Config{
		Zones: zones, Region: "region", DaemonsPerZone: perZone, Engines: harness.ExampleEngines(engines, len(zones), engineTimeScale),
		BundleText: harness.ExampleBundle("1"), Host: "127.0.0.1", ProbeInterval: 200 * time.Millisecond, StopLinger: 500 * time.Millisecond,
		Log: output,
	})
	require.NoError(t, err)
	t.Cleanup(running.Stop)
	return running
}

func waitEnded(t *testing.T, caller *client.Client, id string) client.Batch {
	var job client.Batch
	require.Eventually(t, func() bool {
		var err error
		job, err = caller.Batch(id)
		return err == nil && job.Ended()
	}, waitTimeout, pollInterval)
	return job
}

// requireExactlyOnce checks that the output has exactly one correct answer for each item.
func requireExactlyOnce(t *testing.T, output []byte, items, maxTokens int) {
	results, err := checker.ParseResults(output)
	require.NoError(t, err)
	require.Len(t, results, items)
	for index := range items {
		line, err := results.Single(fmt.Sprintf("item-%d", index))
		require.NoError(t, err)
		require.NoError(t, checker.CheckAnswer(line, harness.ExamplePrompt(index), maxTokens))
	}
}

// ask streams one answer and checks that it is complete and belongs to the prompt.
func ask(caller *client.Client, prompt string, tokens int, headers ...client.Header) error {
	return checker.Stream(caller, client.Completion{Model: harness.ExampleModel, Prompt: prompt, MaxTokens: tokens}, waitTimeout, headers...)
}

func submit(t *testing.T, caller *client.Client, items, maxTokens int, key string) client.Batch {
	file, err := caller.Upload([]byte(harness.ExampleItems(items, maxTokens)))
	require.NoError(t, err)
	job, err := caller.CreateBatch(file.ID, batch.EndpointCompletions, key)
	require.NoError(t, err)
	return job
}

func TestOnlineAndBatchThroughEveryDaemon(t *testing.T) {
	running := start(t, []string{"a", "b", "c"}, 2, 6)
	for index := range running.Daemons {
		require.NoError(t, ask(running.Caller(index, harness.ExampleKey), fmt.Sprintf("hello from %d", index), 12))
	}
	caller := running.Caller(3, harness.ExampleKey)
	job := submit(t, caller, 300, 8, "job-1")
	again := submit(t, running.Caller(0, harness.ExampleKey), 300, 8, "job-2")
	require.NotEqual(t, job.ID, again.ID)
	ended := waitEnded(t, caller, job.ID)
	require.Equal(t, 300, ended.RequestCounts.Completed)
	output, err := caller.FileContent(ended.OutputFileID)
	require.NoError(t, err)
	requireExactlyOnce(t, output, 300, 8)
}

func TestDaemonKilledWithItemsInFlight(t *testing.T) {
	running := start(t, []string{"a", "b"}, 2, 4)
	caller := running.Caller(3, harness.ExampleKey)
	job := submit(t, caller, 400, 40, "job-kill")
	require.Eventually(t, func() bool {
		present, err := caller.Batch(job.ID)
		return err == nil && present.RequestCounts.Completed > 0
	}, waitTimeout, 10*time.Millisecond)
	require.NoError(t, running.Daemons[0].Kill())
	ended := waitEnded(t, caller, job.ID)
	require.Equal(t, 400, ended.RequestCounts.Completed)
	output, err := caller.FileContent(ended.OutputFileID)
	require.NoError(t, err)
	requireExactlyOnce(t, output, 400, 40)
}

// stopTokens is the length of an answer that takes longer than the linger of a planned stop.
const stopTokens = 2500

func TestPlannedStopCompletesRequests(t *testing.T) {
	running := start(t, []string{"a"}, 2, 2)
	caller := running.Caller(0, harness.ExampleKey)
	var group sync.WaitGroup
	failures := make(chan error, 64)
	for index := range 16 {
		group.Add(1)
		go func() {
			defer group.Done()
			if err := ask(caller, fmt.Sprintf("stop %d", index), stopTokens); err != nil {
				failures <- err
			}
		}()
	}
	time.Sleep(100 * time.Millisecond)
	require.NoError(t, running.Daemons[0].Stop())
	group.Wait()
	require.Empty(t, failures)
}

func TestPlatformOutageDuringBatchAndOnline(t *testing.T) {
	running := start(t, []string{"a", "b"}, 2, 4)
	caller := running.Caller(1, harness.ExampleKey)
	job := submit(t, caller, 300, 60, "job-outage")
	require.Eventually(t, func() bool {
		present, err := caller.Batch(job.ID)
		return err == nil && present.RequestCounts.Completed > 0
	}, waitTimeout, 10*time.Millisecond)
	running.Platform.SetFaults(emulator.PlatformFaults{Down: true})
	outageEnds := time.Now().Add(4 * time.Second)
	for time.Now().Before(outageEnds) {
		require.NoError(t, ask(caller, "during outage", 5))
		time.Sleep(pollInterval)
	}
	running.Platform.SetFaults(emulator.PlatformFaults{LoseAnswerShare: 0.3})
	ended := waitEnded(t, caller, job.ID)
	require.Equal(t, 300, ended.RequestCounts.Completed)
	output, err := caller.FileContent(ended.OutputFileID)
	require.NoError(t, err)
	requireExactlyOnce(t, output, 300, 60)
}

func TestCancelledJobStops(t *testing.T) {
	running := start(t, []string{"a"}, 2, 2)
	caller := running.Caller(0, harness.ExampleKey)
	job := submit(t, caller, 400, 100, "job-cancel")
	require.Eventually(t, func() bool {
		present, err := caller.Batch(job.ID)
		return err == nil && present.RequestCounts.Completed > 0
	}, waitTimeout, 10*time.Millisecond)
	cancelled, err := caller.CancelBatch(job.ID)
	require.NoError(t, err)
	require.Equal(t, "cancelled", cancelled.Status)
	var started int
	require.Eventually(t, func() bool {
		before := len(running.Fleet.Ledger())
		time.Sleep(time.Second)
		started = len(running.Fleet.Ledger())
		return before == started
	}, waitTimeout, pollInterval)
	require.Less(t, started, 400)
	present, err := caller.Batch(job.ID)
	require.NoError(t, err)
	output, err := caller.FileContent(present.OutputFileID)
	require.NoError(t, err)
	require.Equal(t, present.RequestCounts.Completed, strings.Count(string(output), "\n"))
}

func TestLeavingEngineGetsNoRequests(t *testing.T) {
	running := start(t, []string{"a"}, 1, 3)
	leaving := "assistant-00"
	machine, found := findMachine(t, running, leaving)
	require.True(t, found)
	machine.State = storage.MachineLeaving
	running.Platform.SetMachine(machine)
	require.Eventually(t, func() bool {
		status, err := running.Operator(0).Status()
		if err != nil {
			return false
		}
		for _, view := range status.Engines {
			if view.Name == leaving {
				return view.Leaving
			}
		}
		return false
	}, waitTimeout, pollInterval)
	left, _ := running.Fleet.Engine(leaving)
	before := len(left.Ledger())
	caller := running.Caller(0, harness.ExampleKey)
	for range 20 {
		require.NoError(t, ask(caller, "after leaving", 2))
	}
	require.Len(t, left.Ledger(), before)
}

func findMachine(t *testing.T, running *harness.Harness, name string) (storage.Machine, bool) {
	machines, err := storage.NewHTTPClient(running.PlatformURL).List(t.Context())
	require.NoError(t, err)
	for _, machine := range machines {
		if machine.Name == name {
			return machine, true
		}
	}
	return storage.Machine{}, false
}
