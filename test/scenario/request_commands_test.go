package scenario

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
)

// streamComplete streams one answer and checks that it is complete and belongs to the prompt.
func streamComplete(caller *client.Client, prompt string, tokens int, headers ...client.Header) error {
	request := client.Completion{Model: harness.ExampleModel, Prompt: prompt, MaxTokens: tokens}
	return checker.Stream(caller, request, waitTimeout, headers...)
}

// ask DAEMON COUNT TOKENS: each answer is complete and belongs to its request.
func ask(f *fleet, args []string) error {
	var group sync.WaitGroup
	failures := make(chan error, parseNumber(args[1]))
	for index := range parseNumber(args[1]) {
		group.Add(1)
		go func() {
			defer group.Done()
			prompt := fmt.Sprintf("ask %d %d", time.Now().UnixNano(), index)
			if err := streamComplete(f.callerAt(args[0]), prompt, parseNumber(args[2])); err != nil {
				failures <- err
			}
		}()
	}
	group.Wait()
	close(failures)
	return <-failures
}

// askOnce: askonce DAEMON KEY TOKENS WANTED [notrun]: a request that may not be
// repeated ends as WANTED ("ok" or an error code) and was started at most once. If it
// was rejected as not run, it was not started.
func askOnce(f *fleet, args []string) error {
	prompt := "askonce " + args[1]
	headers := []client.Header{{Name: gateway.HeaderRepeatable, Value: "false"}, {Name: gateway.HeaderIdempotencyKey, Value: args[1]}}
	err := streamComplete(f.callerAt(args[0]), prompt, parseNumber(args[2]), headers...)
	entries, ledgerErr := f.ledger()
	if ledgerErr != nil {
		return ledgerErr
	}
	started := checker.StartedTimes(entries)[prompt]
	if started > 1 {
		return fmt.Errorf("the request was started %d times", started)
	}
	if err == nil {
		return checkOutcome("ok", args[3])
	}
	typed := failure.From(err)
	if typed.NotRun && started > 0 {
		return fmt.Errorf("the request was rejected as not run but was started")
	}
	return checkOutcome(typed.Code, args[3])
}

// crashOnce: diesonce DAEMON KEY TOKENS ENGINE: the engine crashes while it runs a
// request that may not be repeated; the outcome of the request is unknown.
func crashOnce(f *fleet, args []string) error {
	ended := make(chan error, 1)
	go func() { ended <- askOnce(f, append(slices.Clone(args[:3]), "outcome_unknown")) }()
	err := poll("the request to run", func() bool {
		started, err := f.countStarted("askonce")
		return err == nil && started == 1
	})
	if err != nil {
		return err
	}
	if err := put(f.engineControl()+emulator.PathEngineFaults+"?name="+args[3], emulator.EngineFaults{Crashed: true}); err != nil {
		return err
	}
	return <-ended
}

func checkOutcome(got, wanted string) error {
	if got != wanted {
		return fmt.Errorf("outcome %s, wanted %s", got, wanted)
	}
	return nil
}

// askPlain: plain DAEMON COUNT: each answer of the plain service belongs to its request.
func askPlain(f *fleet, args []string) error {
	for index := range parseNumber(args[1]) {
		body := fmt.Sprintf("meter %d", index)
		content, err := f.callerAt(args[0]).Call("POST", "/v1/services/"+harness.ExamplePlainService+"/reading", []byte(body))
		if err != nil {
			return err
		}
		answer := emulator.PlainAnswer{}
		if err := json.Unmarshal(content, &answer); err != nil {
			return err
		}
		if answer.Digest != emulator.PlainDigest([]byte(body)) || answer.Path != "/reading" {
			return fmt.Errorf("answer %+v does not belong to %q", answer, body)
		}
	}
	return nil
}
