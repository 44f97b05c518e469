package harness_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/emulator"
	"topazpulley/internal/harness"
)

const (
	// longestSilence is the longest silence of a sound engine that must cost no run.
	longestSilence = 3 * time.Second
	// leaveTime is the time in which answers of an engine that is silent for good are whole.
	leaveTime = 15 * time.Second
	// silentTokens make answers that are in mid-stream when the silence begins.
	silentTokens = 1500
	// slowUntilSilence keeps answers in mid-stream until the silence begins, also if the test runs slowly.
	slowUntilSilence = 10
	// silentRequests is the number of answers of a case, at most the batch window.
	silentRequests = 16
)

// silenceEngine makes an engine fall silent for a time.
func silenceEngine(t *testing.T, running *harness.Harness, name string, duration time.Duration) {
	t.Helper()
	found, known := running.Fleet.Engine(name)
	require.True(t, known)
	found.SetFaults(emulator.EngineFaults{Silent: true})
	time.Sleep(duration)
	found.SetFaults(emulator.EngineFaults{})
}

// awaitStarted waits until engines have begun to generate a number of answers.
func awaitStarted(t *testing.T, running *harness.Harness, count int) {
	t.Helper()
	require.Eventually(t, func() bool {
		started := 0
		for _, entry := range running.Fleet.Ledger() {
			if entry.Generated > 0 {
				started++
			}
		}
		return started >= count
	}, waitTimeout, 10*time.Millisecond)
}

// Guards against answers of the other door that are ended or run again because their engine is silent.
func TestAnswersOutliveSilenceOfEngine(t *testing.T) {
	for _, engines := range []int{1, 2} {
		running := start(t, []string{"a"}, 1, engines)
		caller := running.Caller(0, harness.ExampleKey)
		var askers sync.WaitGroup
		for index := range silentRequests {
			askers.Go(func() {
				prompt := fmt.Sprintf("prompt %d", index)
				if index%2 == 0 {
					assert.NoError(t, ask(caller, prompt, silentTokens))
					return
				}
				body := fmt.Sprintf(`{"model":"%s","prompt":"%s","max_tokens":%d}`, harness.ExampleModel, prompt, silentTokens)
				content, err := caller.Call("POST", "/v1/completions", []byte(body))
				assert.NoError(t, err)
				assert.Contains(t, string(content), strings.TrimSpace(emulator.OutputToken(prompt, silentTokens-1)))
			})
		}
		awaitStarted(t, running, silentRequests)
		silenceEngine(t, running, "assistant-00", longestSilence)
		askers.Wait()
		require.Len(t, running.Fleet.Ledger(), silentRequests, "runs with %d engines", engines)
	}
}

// Guards against answers that wait for an engine that is silent for good although another one is free.
func TestAnswersLeaveEngineThatIsSilentForGood(t *testing.T) {
	running := start(t, []string{"a"}, 1, 2)
	caller := running.Caller(0, harness.ExampleKey)
	var askers sync.WaitGroup
	for index := range silentRequests {
		askers.Go(func() { assert.NoError(t, ask(caller, fmt.Sprintf("prompt %d", index), silentTokens)) })
	}
	awaitStarted(t, running, silentRequests)
	silent, known := running.Fleet.Engine("assistant-00")
	require.True(t, known)
	silent.SetFaults(emulator.EngineFaults{Silent: true})
	silentSince := time.Now()
	whole := make(chan struct{})
	go func() {
		askers.Wait()
		close(whole)
	}()
	select {
	case <-whole:
		t.Logf("whole after %s", time.Since(silentSince))
	case <-time.After(leaveTime):
		assert.Fail(t, "answers wait for the silent engine")
	}
	silent.SetFaults(emulator.EngineFaults{})
	<-whole
}

// Guards against begun answers that are ended because the only engine is silent for long.
func TestAnswersOutliveLongSilenceOfOnlyEngine(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	caller := running.Caller(0, harness.ExampleKey)
	only, _ := running.Fleet.Engine("assistant-00")
	only.SetFaults(emulator.EngineFaults{Slowdown: slowUntilSilence})
	var askers sync.WaitGroup
	for index := range silentRequests {
		askers.Go(func() { assert.NoError(t, ask(caller, fmt.Sprintf("prompt %d", index), silentTokens)) })
	}
	awaitStarted(t, running, silentRequests)
	silenceEngine(t, running, "assistant-00", 3*longestSilence) // longer than a stream may pause and a resumption may take
	askers.Wait()
}

// Guards against batch items of the other door that run again because their engine was silent.
func TestBatchItemsOutliveSilenceOfEngine(t *testing.T) {
	running := start(t, []string{"a"}, 1, 1)
	caller := running.Caller(0, harness.ExampleKey)
	job := submit(t, caller, silentRequests, silentTokens, "job-silent")
	awaitStarted(t, running, silentRequests)
	silenceEngine(t, running, "assistant-00", longestSilence)
	ended := waitEnded(t, caller, job.ID)
	output, err := caller.FileContent(ended.OutputFileID)
	require.NoError(t, err)
	requireExactlyOnce(t, output, silentRequests, silentTokens)
	require.Len(t, running.Fleet.Ledger(), silentRequests, "runs")
}
