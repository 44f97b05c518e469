package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"topazpulley/internal/batch"
	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
	"topazpulley/internal/storage"
)

type script = testscript.TestScript

// commands are what a story can say; docs/INVARIANTS.md lists the stories.
func commands() map[string]func(ts *script, neg bool, args []string) {
	table := map[string]func(f *fleet, args []string) error{
		// fleet ZONES DAEMONS-PER-ZONE ENGINES PLAIN TIME-SCALE
		"fleet": func(f *fleet, args []string) error {
			scale, err := strconv.ParseFloat(args[4], 64)
			if err != nil {
				return err
			}
			if err := f.start(strings.Split(args[0], ","), number(args[1]), number(args[2]), number(args[3]), scale); err != nil {
				return err
			}
			revision, err := f.roll(f.daemons[0].name, "1")
			if err != nil {
				return err
			}
			return f.awaitServing(revision, f.names())
		},
		"crash":  func(f *fleet, args []string) error { return f.end(args[0], syscall.SIGKILL) },
		"stop":   func(f *fleet, args []string) error { return f.end(args[0], syscall.SIGTERM) },
		"freeze": func(f *fleet, args []string) error { return f.signal(args[0], syscall.SIGSTOP) },
		"thaw":   func(f *fleet, args []string) error { return f.signal(args[0], syscall.SIGCONT) },
		// restart NAME [noready]
		"restart": func(f *fleet, args []string) error {
			if err := f.restart(args[0]); err != nil || len(args) > 1 {
				return err
			}
			return waitHTTP("http://" + f.spec(args[0]).http + "/readyz")
		},
		"ready": func(f *fleet, args []string) error { return waitHTTP("http://" + f.spec(args[0]).http + "/readyz") },
		// notready NAME: the daemon answers and is not ready
		"notready": func(f *fleet, args []string) error {
			time.Sleep(3 * time.Second)
			status, err := f.operatorAt(args[0]).Status()
			if err == nil && status.Ready {
				return fmt.Errorf("%s is ready with revision %d", args[0], status.Revision)
			}
			return err
		},
		"platform": setPlatform,
		// engine NAME FAULTS-JSON
		"engine": func(f *fleet, args []string) error {
			faults := emulator.EngineFaults{}
			if err := json.Unmarshal([]byte(args[1]), &faults); err != nil {
				return err
			}
			for _, name := range f.engines {
				if name == args[0] || (args[0] == "all" && strings.HasPrefix(name, "assistant")) {
					if err := put(f.engineControl()+emulator.PathEngineFaults+"?name="+name, faults); err != nil {
						return err
					}
				}
			}
			return nil
		},
		"leave": leaveMachine,
		// cut FROM:TO,...; no argument heals
		"cut": func(f *fleet, args []string) error {
			cuts := []emulator.Cut{}
			if len(args) > 0 {
				for _, pair := range strings.Split(args[0], ",") {
					from, to, _ := strings.Cut(pair, ":")
					cuts = append(cuts, emulator.Cut{From: from, To: to})
				}
			}
			return put(f.relayControl()+emulator.PathCuts, cuts)
		},
		// roll DAEMON VERSION
		"roll": func(f *fleet, args []string) error {
			_, err := f.roll(args[0], args[1])
			return err
		},
		// serving REVISION DAEMON...
		"serving": func(f *fleet, args []string) error {
			names := args[1:]
			if names[0] == "all" {
				names = f.names()
			}
			return f.awaitServing(int64(number(args[0])), names)
		},
		// revision DAEMON NUMBER: the daemon serves exactly this one now
		"revision": func(f *fleet, args []string) error {
			status, err := f.operatorAt(args[0]).Status()
			if err == nil && status.Revision != int64(number(args[1])) {
				return fmt.Errorf("%s serves revision %d", args[0], status.Revision)
			}
			return err
		},
		"race":     raceOperators,
		"submit":   submitJob,
		"progress": awaitProgress,
		"await":    awaitJob,
		"once":     checkOnce,
		"cancel":   cancelJob,
		"quiet":    checkQuiet,
		"readable": checkReadable,
		"ask":      ask,
		"askonce":  askOnce,
		"diesonce": diesOnce,
		"plain":    askPlain,
		"load":     loadCommand,
		"members": func(f *fleet, args []string) error {
			return poll(args[0]+" to see "+args[1]+" members", func() bool {
				status, err := f.operatorAt(args[0]).Status()
				return err == nil && len(status.Members) == number(args[1])
			})
		},
		"nowork": checkNoWork,
		"sleep": func(_ *fleet, args []string) error {
			pause, err := time.ParseDuration(args[0])
			time.Sleep(pause)
			return err
		},
	}
	registered := map[string]func(ts *script, neg bool, args []string){}
	for name, run := range table {
		registered[name] = func(ts *script, neg bool, args []string) {
			err := run(ts.Value(fleetKey{}).(*fleet), args)
			if neg && err == nil {
				ts.Fatalf("%s %s succeeded", name, strings.Join(args, " "))
			}
			if !neg && err != nil {
				ts.Fatalf("%s %s: %v", name, strings.Join(args, " "), err)
			}
			if neg {
				ts.Logf("failed as expected: %v", err)
			}
		}
	}
	return registered
}

func number(text string) int {
	parsed, err := strconv.Atoi(text)
	if err != nil {
		panic(err)
	}
	return parsed
}

// setPlatform: platform up | down | slow DURATION | lose SHARE | limit OPS
func setPlatform(f *fleet, args []string) error {
	faults := emulator.PlatformFaults{}
	switch args[0] {
	case "down":
		faults.Down = true
	case "slow":
		if err := faults.Latency.UnmarshalText([]byte(args[1])); err != nil {
			return err
		}
	case "lose":
		faults.LoseAnswerShare, _ = strconv.ParseFloat(args[1], 64)
	case "limit":
		faults.OperationsPerSecond, _ = strconv.ParseFloat(args[1], 64)
	}
	return put(f.platformURL()+emulator.PathPlatformFaults, faults)
}

func leaveMachine(f *fleet, args []string) error {
	machines, err := storage.NewHTTPClient(f.platformURL()).List(context.Background())
	if err != nil {
		return err
	}
	for _, machine := range machines {
		if machine.Name == args[0] {
			machine.State = storage.MachineLeaving
			return put(f.platformURL()+emulator.PathPlatformMachine, machine)
		}
	}
	return fmt.Errorf("no machine %s", args[0])
}

// submittedJob remembers what a story asked for.
type submittedJob struct {
	id     string
	items  int
	tokens int
	once   bool
}

// itemPrompt is unique per fleet, job and item, so that the engines' ledger
// tells how often an item ran.
func itemPrompt(job string, index int) string { return fmt.Sprintf("%s item %d", job, index) }

// submit JOB DAEMON ITEMS TOKENS [once] [other]
func submitJob(f *fleet, args []string) error {
	job := submittedJob{items: number(args[2]), tokens: number(args[3])}
	options := strings.Join(args[4:], " ")
	job.once = strings.Contains(options, "once")
	lines := strings.Builder{}
	for index := range job.items {
		prompt := itemPrompt(args[0], index)
		if strings.Contains(options, "other") {
			prompt += " other"
		}
		fmt.Fprintf(&lines, `{"custom_id":"%d","repeatable":%t,"body":{"model":"%s","prompt":"%s","max_tokens":%d}}`+"\n",
			index, !job.once, harness.ExampleModel, prompt, job.tokens)
	}
	made, err := f.createJob(f.callerAt(args[1]), args[0], options, lines.String())
	if err != nil {
		return err
	}
	job.id = made.ID
	if known, exists := f.jobs[args[0]]; exists && known.id != job.id {
		return fmt.Errorf("a resend made job %s beside %s", job.id, known.id)
	}
	f.jobs[args[0]] = job
	return nil
}

// createJob submits like a client that is told to come back: it sends again,
// with the same key, for as long as the platform is said to be unavailable and
// its patience lasts.
func (f *fleet) createJob(caller *client.Client, key, options, lines string) (client.Batch, error) {
	made, err := client.Batch{}, error(nil)
	for range submitTries {
		var file string
		if file, err = f.uploaded(caller, key+options, lines); err == nil {
			made, err = caller.CreateBatch(file, batch.EndpointCompletions, key)
		}
		if !failure.Is(err, failure.KindUnavailable) {
			return made, err
		}
		time.Sleep(submitPause)
	}
	return made, err
}

const (
	submitTries = 8
	submitPause = 500 * time.Millisecond
)

// uploaded stores a file once per content, as a client that resends does.
func (f *fleet) uploaded(caller *client.Client, name, content string) (string, error) {
	path := f.dir + "/file-" + strings.ReplaceAll(name, " ", "-")
	if id, err := os.ReadFile(path); err == nil {
		return string(id), nil
	}
	file, err := caller.Upload([]byte(content))
	if err != nil {
		return "", err
	}
	return file.ID, os.WriteFile(path, []byte(file.ID), 0o644)
}

// progress JOB DAEMON COUNT
func awaitProgress(f *fleet, args []string) error {
	return poll("progress of "+args[0], func() bool {
		job, err := f.callerAt(args[1]).Batch(f.jobs[args[0]].id)
		return err == nil && job.RequestCounts.Completed >= number(args[2])
	})
}

// await JOB DAEMON
func awaitJob(f *fleet, args []string) error {
	return poll("the end of "+args[0], func() bool {
		job, err := f.callerAt(args[1]).Batch(f.jobs[args[0]].id)
		return err == nil && job.Ended()
	})
}

// results reads the visible results of a job by item.
func (f *fleet) results(daemon, job string) (checker.Results, error) {
	return checker.ReadResults(f.callerAt(daemon), f.jobs[job].id)
}

// once JOB DAEMON: every item has exactly one result, its own; an item that
// may not be repeated was started at most once, and its result may be
// "outcome_unknown".
func checkOnce(f *fleet, args []string) error {
	job := f.jobs[args[0]]
	results, err := f.results(args[1], args[0])
	if err != nil {
		return err
	}
	if len(results) != job.items {
		return fmt.Errorf("%d of %d items have results", len(results), job.items)
	}
	unknown := 0
	for index := range job.items {
		line, err := results.Single(strconv.Itoa(index))
		if err != nil {
			return err
		}
		if job.once && line.Error != nil && line.Error.Code == "outcome_unknown" {
			unknown++
			continue
		}
		if err := checker.CheckAnswer(line, itemPrompt(args[0], index), job.tokens); err != nil {
			return err
		}
	}
	if !job.once {
		return nil
	}
	return f.checkStartedOnce(args[0], job, unknown)
}

// checkStartedOnce asks the engines how often each item was started.
func (f *fleet) checkStartedOnce(name string, job submittedJob, unknown int) error {
	entries, err := f.ledger()
	if err != nil {
		return err
	}
	started := checker.StartedTimes(entries)
	for index := range job.items {
		if count := started[itemPrompt(name, index)]; count > 1 {
			return fmt.Errorf("item %d was started %d times", index, count)
		}
	}
	if unknown == job.items {
		return fmt.Errorf("every item ended as unknown")
	}
	return nil
}

func cancelJob(f *fleet, args []string) error {
	job, err := f.callerAt(args[1]).CancelBatch(f.jobs[args[0]].id)
	if err == nil && job.Status != "cancelled" {
		return fmt.Errorf("status %s", job.Status)
	}
	return err
}

// quiet JOB: the engines stop starting items of the job before all were
// started.
func checkQuiet(f *fleet, args []string) error {
	started := 0
	err := poll("the job to be quiet", func() bool {
		before, err := f.countStarted(args[0])
		time.Sleep(3 * time.Second)
		after, afterErr := f.countStarted(args[0])
		started = after
		return err == nil && afterErr == nil && before == after
	})
	if err == nil && started >= f.jobs[args[0]].items {
		err = fmt.Errorf("all %d items were started", started)
	}
	return err
}

func (f *fleet) countStarted(job string) (int, error) {
	entries, err := f.ledger()
	count := 0
	for _, entry := range entries {
		if strings.HasPrefix(entry.Prompt, job+" ") {
			count++
		}
	}
	return count, err
}

// readable JOB DAEMON: each visible result is whole and the item's own.
func checkReadable(f *fleet, args []string) error {
	results, err := f.results(args[1], args[0])
	if err != nil {
		return err
	}
	if len(results) == 0 {
		return fmt.Errorf("no result is readable")
	}
	for item := range results {
		line, err := results.Single(item)
		if err != nil {
			return err
		}
		if err := checker.CheckAnswer(line, itemPrompt(args[0], number(item)), f.jobs[args[0]].tokens); err != nil {
			return err
		}
	}
	return nil
}

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

// nowork ENGINE: the engine starts nothing while others do.
func checkNoWork(f *fleet, args []string) error {
	count := func() (int, error) {
		entries, err := f.ledger()
		total := 0
		for _, entry := range entries {
			if entry.Engine == args[0] {
				total++
			}
		}
		return total, err
	}
	before, err := count()
	if err != nil {
		return err
	}
	for range 3 {
		if err := ask(f, []string{f.daemons[0].name, "20", "3"}); err != nil {
			return err
		}
	}
	after, err := count()
	if err == nil && after != before {
		err = fmt.Errorf("%s started %d more", args[0], after-before)
	}
	return err
}

// raceOperators: race DAEMON DAEMON: two operators roll on the same base; one
// wins, the other gets a conflict that names the winner.
func raceOperators(f *fleet, args []string) error {
	history, err := f.operatorAt(args[0]).History()
	if err != nil {
		return err
	}
	head := history[0]
	outcomes := make(chan error, 2)
	for index := range 2 {
		go func() {
			_, err := f.operatorAt(args[index]).Change(gateway.ChangeRequest{
				Kind: "roll", Digest: head.Active, Operator: fmt.Sprintf("operator%d", index), Base: head.Number,
			})
			outcomes <- err
		}()
	}
	conflicts := 0
	for range 2 {
		if err := <-outcomes; failure.HasCode(err, "revision_overtaken") && strings.Contains(err.Error(), "operator") {
			conflicts++
		} else if err != nil {
			return err
		}
	}
	if conflicts != 1 {
		return fmt.Errorf("%d of 2 racing operators got a conflict", conflicts)
	}
	return nil
}

// onlineLoad asks in the background until it is stopped.
type onlineLoad struct {
	stopped chan struct{}
	group   sync.WaitGroup
	mutex   sync.Mutex
	sent    int
	failed  []error
}

const loadWorkers = 4

func (l *onlineLoad) stop() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
	l.group.Wait()
}

// loadCommand: load start DAEMON,... TOKENS | load stop: none was cut off.
func loadCommand(f *fleet, args []string) error {
	if args[0] == "start" {
		f.load = startLoad(f, strings.Split(args[1], ","), number(args[2]))
		return nil
	}
	f.load.stop()
	if len(f.load.failed) > 0 {
		return fmt.Errorf("%d of %d requests failed, the first: %w", len(f.load.failed), f.load.sent, f.load.failed[0])
	}
	if f.load.sent == 0 {
		return fmt.Errorf("no request was sent")
	}
	return nil
}

func startLoad(f *fleet, daemons []string, tokens int) *onlineLoad {
	load := &onlineLoad{stopped: make(chan struct{})}
	for worker := range loadWorkers {
		load.group.Add(1)
		go func() {
			defer load.group.Done()
			for index := 0; ; index++ {
				select {
				case <-load.stopped:
					return
				default:
				}
				load.ask(f, daemons, fmt.Sprintf("load %d %d", worker, index), index+worker, tokens)
			}
		}()
	}
	return load
}

// ask sends one request to one of the daemons. A caller goes to another daemon
// when it could not connect, or was told that the request did not run.
func (l *onlineLoad) ask(f *fleet, daemons []string, prompt string, turn, tokens int) {
	var err error
	for try := range 2 * len(daemons) {
		err = streamWhole(f.callerAt(daemons[(turn+try)%len(daemons)]), prompt, tokens)
		if err == nil || !mayGoElsewhere(err) {
			break
		}
		time.Sleep(pollEvery)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.sent++
	if err != nil {
		l.failed = append(l.failed, err)
	}
}

func mayGoElsewhere(err error) bool {
	return failure.From(err).NotRun || strings.Contains(err.Error(), "connection refused")
}
