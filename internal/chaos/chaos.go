// Package chaos runs a deployment under faults drawn from a seed and checks the
// promises of the brief: exactly-once results, whole answers to their own
// requests, "not run" that did not run, and at most one run of what may not be
// repeated.
package chaos

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazpulley/internal/batch"
	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/harness"
	"topazpulley/internal/settings"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Span is how long faults are drawn; afterwards all is healed and the run
	// waits for its jobs.
	Span time.Duration
	Log  *slog.Logger
}

// Summary counts what a run did.
type Summary struct {
	Faults, Jobs, Items, Online, OnlineFailed, Once, OnceUnknown, OnceRefused int
}

const (
	zones            = 3
	daemonsPerZone   = 2
	engines          = 6
	timeScale        = 0.1
	jobItems         = 120
	jobTokens        = 12
	onlineTokens     = 30
	faultEvery       = 700 * time.Millisecond
	jobEvery         = 1500 * time.Millisecond
	askEvery         = 60 * time.Millisecond
	askTimeout       = 30 * time.Second
	drainTimeout     = 2 * time.Minute
	drainPoll        = 200 * time.Millisecond
	submitTries      = 40
	submitPause      = 500 * time.Millisecond
	probeInterval    = 300 * time.Millisecond
	stopLinger       = 500 * time.Millisecond
	platformSlowness = 150 * time.Millisecond
)

// run is one run in progress. mutex guards the fields below it.
type run struct {
	config  Config
	random  *rand.Rand
	running *harness.Harness
	output  io.Writer
	ended   chan struct{}
	group   sync.WaitGroup

	mutex   sync.Mutex
	down    map[int]bool
	jobs    []string
	summary Summary
	broken  []error
}

// Run executes a run and returns the first broken promise, if any.
func Run(config Config, output io.Writer) (Summary, error) {
	zoneNames := []string{"a", "b", "c"}[:zones]
	running, err := harness.Start(harness.Config{
		Zones: zoneNames, Region: "region", DaemonsPerZone: daemonsPerZone, Host: "127.0.0.1",
		Engines:    harness.ExampleEngines(engines, zones, timeScale),
		BundleText: harness.ExampleBundle("1"), ProbeInterval: probeInterval, StopLinger: stopLinger, Log: config.Log,
	})
	if err != nil {
		return Summary{}, err
	}
	defer running.Stop()
	r := &run{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), running: running,
		output: output, ended: make(chan struct{}), down: map[int]bool{},
	}
	r.execute()
	return r.summary, r.verdict()
}

func (r *run) execute() {
	r.group.Add(3)
	go r.every(jobEvery, r.submit)
	go r.every(askEvery, r.askOnline)
	go r.every(askEvery*4, r.askOnce)
	deadline := time.Now().Add(r.config.Span)
	for time.Now().Before(deadline) {
		r.fault()
		time.Sleep(faultEvery)
	}
	close(r.ended)
	r.heal()
	r.group.Wait()
}

// every calls step at an interval, each in its own goroutine, until the faults
// have ended.
func (r *run) every(interval time.Duration, step func(index int)) {
	defer r.group.Done()
	for index := 0; ; index++ {
		select {
		case <-r.ended:
			return
		case <-time.After(interval):
		}
		r.group.Add(1)
		go func() {
			defer r.group.Done()
			step(index)
		}()
	}
}

func (r *run) report(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.broken = append(r.broken, err)
}

// caller returns a client for a daemon that is up as far as is known.
func (r *run) caller(index int) *client.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := len(r.running.Daemons)
	for offset := range count {
		if candidate := (index + offset) % count; !r.down[candidate] {
			return r.running.Caller(candidate, harness.ExampleKey)
		}
	}
	return r.running.Caller(index%count, harness.ExampleKey)
}

func jobName(index int) string { return fmt.Sprintf("job%d", index) }

func itemPrompt(job string, index int) string { return fmt.Sprintf("%s item %d", job, index) }

// submit sends a job, again and again with the same key until it is accepted,
// as a client does.
func (r *run) submit(index int) {
	name := jobName(index)
	lines := []byte{}
	for item := range jobItems {
		lines = fmt.Appendf(lines, `{"custom_id":"%d","body":{"model":"%s","prompt":"%s","max_tokens":%d}}`+"\n", item, harness.ExampleModel, itemPrompt(name, item), jobTokens)
	}
	file := ""
	for try := range submitTries {
		caller := r.caller(index + try)
		if file == "" {
			uploaded, err := caller.Upload(lines)
			if err != nil {
				time.Sleep(submitPause)
				continue
			}
			file = uploaded.ID
		}
		made, err := caller.CreateBatch(file, batch.EndpointCompletions, name)
		if err == nil {
			r.accepted(made.ID, name)
			return
		}
		time.Sleep(submitPause)
	}
}

func (r *run) accepted(id, name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, name)
	r.summary.Jobs++
	r.summary.Items += jobItems
	if id != batch.JobID("example", name) {
		r.broken = append(r.broken, failure.New(failure.KindInternal, "other_job", "job %s has the id %s", name, id))
	}
}

// askOnline asks for one answer. It may fail with a typed error; a wrong or
// incomplete answer that claims to be whole is a broken promise.
func (r *run) askOnline(index int) {
	request := client.Completion{Model: harness.ExampleModel, Prompt: fmt.Sprintf("online %d", index), MaxTokens: onlineTokens}
	err := checker.Stream(r.caller(index), request, askTimeout)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Online++
	if err != nil {
		r.summary.OnlineFailed++
	}
	if failure.HasCode(err, "wrong_answer") {
		r.broken = append(r.broken, err)
	}
}

func oncePrompt(index int) string { return fmt.Sprintf("once %d", index) }

// askOnce sends a request that may not be repeated and checks a refusal
// against what the engines started.
func (r *run) askOnce(index int) {
	request := client.Completion{Model: harness.ExampleModel, Prompt: oncePrompt(index), MaxTokens: onlineTokens}
	err := checker.Stream(r.caller(index), request, askTimeout,
		client.Header{Name: gateway.HeaderRepeatable, Value: "false"}, client.Header{Name: gateway.HeaderIdempotencyKey, Value: oncePrompt(index)})
	isRefused := failure.From(err) != nil && failure.From(err).NotRun
	started := checker.StartedTimes(r.running.Fleet.Ledger())[request.Prompt]
	if isRefused && started > 0 {
		r.report(failure.New(failure.KindInternal, "not_run_ran", "request %q was refused as not run (%v) and was started", request.Prompt, err))
	}
	if failure.HasCode(err, "wrong_answer") {
		r.report(err)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Once++
	switch {
	case isRefused:
		r.summary.OnceRefused++
	case err != nil:
		r.summary.OnceUnknown++
	}
}

// fault draws one fault and starts it.
func (r *run) fault() {
	kinds := []func(){r.killDaemon, r.killDaemon, r.stopDaemon, r.breakEngine, r.breakEngine, r.breakPlatform}
	kinds[r.random.IntN(len(kinds))]()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Faults++
}

func (r *run) say(format string, arguments ...any) {
	fmt.Fprintf(r.output, format+"\n", arguments...)
}

func (r *run) pause(most time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(most)))
}

// takeDown reserves a daemon that is up; false when it is down already.
func (r *run) takeDown(index int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down[index] {
		return false
	}
	r.down[index] = true
	return true
}

func (r *run) killDaemon() {
	index, after := r.random.IntN(len(r.running.Daemons)), r.pause(3*time.Second)
	if !r.takeDown(index) {
		return
	}
	r.say("fault=kill daemon=%s back_after=%s", r.running.Daemons[index].Name(), after)
	_ = r.running.Daemons[index].Kill()
	r.bringBack(index, after)
}

func (r *run) stopDaemon() {
	index, after := r.random.IntN(len(r.running.Daemons)), r.pause(time.Second)
	if !r.takeDown(index) {
		return
	}
	r.say("fault=stop daemon=%s back_after=%s", r.running.Daemons[index].Name(), after)
	stopping := r.running.Daemons[index]
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		_ = stopping.Stop()
		r.bringBack(index, after)
	}()
}

func (r *run) bringBack(index int, after time.Duration) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		time.Sleep(after)
		for r.running.StartDaemon(index) != nil {
			time.Sleep(submitPause)
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.down, index)
	}()
}

func (r *run) breakEngine() {
	name := fmt.Sprintf("assistant-%02d", r.random.IntN(engines))
	faults := []emulator.EngineFaults{{Crashed: true}, {Draining: true}, {TruncateShare: 0.3}, {WrongIDShare: 0.3}, {RefuseShare: 0.5}, {HideLoad: true}, {Slowdown: 5}}
	fault, after := faults[r.random.IntN(len(faults))], r.pause(3*time.Second)
	r.say("fault=engine engine=%s faults=%+v heals_after=%s", name, fault, after)
	if target, known := r.running.Fleet.Engine(name); known {
		target.SetFaults(fault)
		time.AfterFunc(after, func() { target.SetFaults(emulator.EngineFaults{}) })
	}
}

func (r *run) breakPlatform() {
	faults := []emulator.PlatformFaults{{Down: true}, {LoseAnswerShare: 0.4}, {Latency: settings.Duration(platformSlowness)}, {OperationsPerSecond: 40}}
	fault, after := faults[r.random.IntN(len(faults))], r.pause(4*time.Second)
	r.say("fault=platform faults=%+v heals_after=%s", fault, after)
	r.running.Platform.SetFaults(fault)
	time.AfterFunc(after, func() { r.running.Platform.SetFaults(emulator.PlatformFaults{}) })
}

func (r *run) heal() {
	r.running.Platform.SetFaults(emulator.PlatformFaults{})
	for index := range engines {
		if target, known := r.running.Fleet.Engine(fmt.Sprintf("assistant-%02d", index)); known {
			target.SetFaults(emulator.EngineFaults{})
		}
	}
}

// verdict waits for the jobs and checks every promise.
func (r *run) verdict() error {
	if len(r.broken) > 0 {
		return r.broken[0]
	}
	for _, name := range r.jobs {
		if err := r.checkJob(name); err != nil {
			return err
		}
	}
	started := checker.StartedTimes(r.running.Fleet.Ledger())
	for index := range r.summary.Once {
		if count := started[oncePrompt(index)]; count > 1 {
			return failure.New(failure.KindInternal, "ran_twice", "request %q was started %d times", oncePrompt(index), count)
		}
	}
	return nil
}

func (r *run) checkJob(name string) error {
	caller := r.running.Caller(0, harness.ExampleKey)
	id := batch.JobID("example", name)
	deadline := time.Now().Add(drainTimeout)
	for {
		job, err := caller.Batch(id)
		if err == nil && job.Ended() {
			break
		}
		if time.Now().After(deadline) {
			return failure.New(failure.KindDeadline, "job_lost", "job %s did not end: %+v, %v", name, job, err)
		}
		time.Sleep(drainPoll)
	}
	results, err := checker.ReadResults(caller, id)
	if err != nil {
		return err
	}
	for item := range jobItems {
		line, err := results.Single(fmt.Sprint(item))
		if err != nil {
			return err
		}
		if err := checker.CheckAnswer(line, itemPrompt(name, item), jobTokens); err != nil {
			return err
		}
	}
	return nil
}
