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

// streamWhole asks for one answer and checks that it is whole and one's own.
func streamWhole(caller *client.Client, prompt string, tokens int, headers ...client.Header) error {
	request := client.Completion{Model: harness.ExampleModel, Prompt: prompt, MaxTokens: tokens}
	return checker.Stream(caller, request, wideBound, headers...)
}

// ask DAEMON COUNT TOKENS: answers come whole and to whom they belong.
func ask(f *fleet, args []string) error {
	var group sync.WaitGroup
	failures := make(chan error, number(args[1]))
	for index := range number(args[1]) {
		group.Add(1)
		go func() {
			defer group.Done()
			prompt := fmt.Sprintf("ask %d %d", time.Now().UnixNano(), index)
			if err := streamWhole(f.callerAt(args[0]), prompt, number(args[2])); err != nil {
				failures <- err
			}
		}()
	}
	group.Wait()
	close(failures)
	return <-failures
}

// askonce DAEMON KEY TOKENS WANTED [notrun]: a request that may not be
// repeated ends as WANTED ("ok" or an error code) and was started at most once;
// a refusal as not run was not started.
func askOnce(f *fleet, args []string) error {
	prompt := "askonce " + args[1]
	headers := []client.Header{{Name: gateway.HeaderRepeatable, Value: "false"}, {Name: gateway.HeaderIdempotencyKey, Value: args[1]}}
	err := streamWhole(f.callerAt(args[0]), prompt, number(args[2]), headers...)
	entries, ledgerErr := f.ledger()
	if ledgerErr != nil {
		return ledgerErr
	}
	started := checker.StartedTimes(entries)[prompt]
	if started > 1 {
		return fmt.Errorf("the request was started %d times", started)
	}
	if err == nil {
		return wantOutcome("ok", args[3])
	}
	typed := failure.From(err)
	if typed.NotRun && started > 0 {
		return fmt.Errorf("the request was refused as not run and was started")
	}
	return wantOutcome(typed.Code, args[3])
}

// diesOnce: diesonce DAEMON KEY TOKENS ENGINE: the engine dies while it runs a
// request that may not be repeated, which ends as unknown.
func diesOnce(f *fleet, args []string) error {
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

func wantOutcome(got, wanted string) error {
	if got != wanted {
		return fmt.Errorf("outcome %s, wanted %s", got, wanted)
	}
	return nil
}

// plain DAEMON COUNT
func askPlain(f *fleet, args []string) error {
	for index := range number(args[1]) {
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
			return fmt.Errorf("answer %+v is not to %q", answer, body)
		}
	}
	return nil
}
