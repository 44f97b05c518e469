// Package chaos runs a deployment with random faults from a seed and checks its
// guarantees: each batch item has exactly one result, each answer is complete and
// belongs to its request, a request reported as not run was not started, and a
// request that may not be repeated is started at most once.
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
	// Span is how long faults are injected. After it all faults are cleared and the
	// run waits for its jobs.
	Span time.Duration
	Log  *slog.Logger
}

// Summary counts the faults, jobs and requests of a run. Once counts the requests that
// may not be repeated.
type Summary struct {
	Faults, Jobs, Items, Online, OnlineFailed, Once, OnceUnknown, OnceRefused int
}

const (
	zones             = 3
	daemonsPerZone    = 2
	engines           = 6
	timeScale         = 0.1
	jobItems          = 120
	jobTokens         = 12
	onlineTokens      = 30
	faultInterval     = 700 * time.Millisecond
	jobInterval       = 1500 * time.Millisecond
	requestInterval   = 60 * time.Millisecond
	requestTimeout    = 30 * time.Second
	drainTimeout      = 2 * time.Minute
	drainPollInterval = 200 * time.Millisecond
	submitAttempts    = 40
	retryInterval     = 500 * time.Millisecond
	probeInterval     = 300 * time.Millisecond
	stopLinger        = 500 * time.Millisecond
	platformLatency   = 150 * time.Millisecond
)

// run is the state of one run. mutex guards the fields after it.
type run struct {
	config      Config
	random      *rand.Rand
	deployment  *harness.Harness
	output      io.Writer
	faultsEnded chan struct{}
	group       sync.WaitGroup

	mutex      sync.Mutex
	down       map[int]bool
	jobs       []string
	summary    Summary
	violations []error
}

// Run executes a run and returns the first violated guarantee, if any.
func Run(config Config, output io.Writer) (Summary, error) {
	zoneNames := []string{"a", "b", "c"}[:zones]
	deployment, err := harness.Start(harness.Config{
		Zones: zoneNames, Region: "region", DaemonsPerZone: daemonsPerZone, Host: "127.0.0.1",
		Engines:    harness.ExampleEngines(engines, zones, timeScale),
		BundleText: harness.ExampleBundle("1"), ProbeInterval: probeInterval, StopLinger: stopLinger, Log: config.Log,
	})
	if err != nil {
		return Summary{}, err
	}
	defer deployment.Stop()
	r := &run{
		config: config, random: rand.New(rand.NewPCG(config.Seed, config.Seed)), deployment: deployment,
		output: output, faultsEnded: make(chan struct{}), down: map[int]bool{},
	}
	r.execute()
	return r.summary, r.check()
}

func (r *run) execute() {
	r.group.Add(3)
	go r.repeat(jobInterval, r.submitJob)
	go r.repeat(requestInterval, r.sendOnline)
	go r.repeat(requestInterval*4, r.sendOnce)
	deadline := time.Now().Add(r.config.Span)
	for time.Now().Before(deadline) {
		r.injectFault()
		time.Sleep(faultInterval)
	}
	close(r.faultsEnded)
	r.clearFaults()
	r.group.Wait()
}

// repeat calls step at an interval, each call in its own goroutine, until
// faultsEnded is closed.
func (r *run) repeat(interval time.Duration, step func(index int)) {
	defer r.group.Done()
	for index := 0; ; index++ {
		select {
		case <-r.faultsEnded:
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

func (r *run) recordViolation(err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, err)
}

// caller returns a client of the first daemon from an index that is not marked as down.
func (r *run) caller(index int) *client.Client {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	count := len(r.deployment.Daemons)
	for offset := range count {
		if candidate := (index + offset) % count; !r.down[candidate] {
			return r.deployment.Caller(candidate, harness.ExampleKey)
		}
	}
	return r.deployment.Caller(index%count, harness.ExampleKey)
}

func jobName(index int) string { return fmt.Sprintf("job%d", index) }

func itemPrompt(job string, index int) string { return fmt.Sprintf("%s item %d", job, index) }

// submitJob submits a job and retries with the same key until it is accepted.
func (r *run) submitJob(index int) {
	name := jobName(index)
	lines := []byte{}
	for item := range jobItems {
		lines = fmt.Appendf(lines, `{"custom_id":"%d","body":{"model":"%s","prompt":"%s","max_tokens":%d}}`+"\n", item, harness.ExampleModel, itemPrompt(name, item), jobTokens)
	}
	file := ""
	for try := range submitAttempts {
		caller := r.caller(index + try)
		if file == "" {
			uploaded, err := caller.Upload(lines)
			if err != nil {
				time.Sleep(retryInterval)
				continue
			}
			file = uploaded.ID
		}
		made, err := caller.CreateBatch(file, batch.EndpointCompletions, name)
		if err == nil {
			r.recordJob(made.ID, name)
			return
		}
		time.Sleep(retryInterval)
	}
}

func (r *run) recordJob(id, name string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.jobs = append(r.jobs, name)
	r.summary.Jobs++
	r.summary.Items += jobItems
	if id != batch.JobID("example", name) {
		r.violations = append(r.violations, failure.New(failure.KindInternal, "other_job", "job %s has the id %s", name, id))
	}
}

// sendOnline sends one online request. It may fail with a typed error; a wrong answer
// or a truncated one reported as complete is a violation.
func (r *run) sendOnline(index int) {
	request := client.Completion{Model: harness.ExampleModel, Prompt: fmt.Sprintf("online %d", index), MaxTokens: onlineTokens}
	err := checker.Stream(r.caller(index), request, requestTimeout)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Online++
	if err != nil {
		r.summary.OnlineFailed++
	}
	if failure.HasCode(err, "wrong_answer") {
		r.violations = append(r.violations, err)
	}
}

func oncePrompt(index int) string { return fmt.Sprintf("once %d", index) }

// sendOnce sends a request that may not be repeated. If it is rejected as not run, no
// engine may have started it.
func (r *run) sendOnce(index int) {
	request := client.Completion{Model: harness.ExampleModel, Prompt: oncePrompt(index), MaxTokens: onlineTokens}
	err := checker.Stream(r.caller(index), request, requestTimeout,
		client.Header{Name: gateway.HeaderRepeatable, Value: "false"}, client.Header{Name: gateway.HeaderIdempotencyKey, Value: oncePrompt(index)})
	isRefused := failure.From(err) != nil && failure.From(err).NotRun
	started := checker.StartedTimes(r.deployment.Fleet.Ledger())[request.Prompt]
	if isRefused && started > 0 {
		r.recordViolation(failure.New(failure.KindInternal, "not_run_ran", "request %q was rejected as not run (%v) but was started", request.Prompt, err))
	}
	if failure.HasCode(err, "wrong_answer") {
		r.recordViolation(err)
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

// injectFault injects a random fault.
func (r *run) injectFault() {
	kinds := []func(){r.killDaemon, r.killDaemon, r.stopDaemon, r.injectEngineFault, r.injectEngineFault, r.injectPlatformFault}
	kinds[r.random.IntN(len(kinds))]()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.summary.Faults++
}

func (r *run) log(format string, arguments ...any) {
	fmt.Fprintf(r.output, format+"\n", arguments...)
}

func (r *run) randomDuration(maximum time.Duration) time.Duration {
	return time.Duration(r.random.Int64N(int64(maximum)))
}

// markDown marks a daemon as down and reports whether it was up.
func (r *run) markDown(index int) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down[index] {
		return false
	}
	r.down[index] = true
	return true
}

func (r *run) killDaemon() {
	index, after := r.random.IntN(len(r.deployment.Daemons)), r.randomDuration(3*time.Second)
	if !r.markDown(index) {
		return
	}
	r.log("fault=kill daemon=%s back_after=%s", r.deployment.Daemons[index].Name(), after)
	_ = r.deployment.Daemons[index].Kill()
	r.restartAfter(index, after)
}

func (r *run) stopDaemon() {
	index, after := r.random.IntN(len(r.deployment.Daemons)), r.randomDuration(time.Second)
	if !r.markDown(index) {
		return
	}
	r.log("fault=stop daemon=%s back_after=%s", r.deployment.Daemons[index].Name(), after)
	stopping := r.deployment.Daemons[index]
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		_ = stopping.Stop()
		r.restartAfter(index, after)
	}()
}

func (r *run) restartAfter(index int, after time.Duration) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		time.Sleep(after)
		for r.deployment.StartDaemon(index) != nil {
			time.Sleep(retryInterval)
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		delete(r.down, index)
	}()
}

func (r *run) injectEngineFault() {
	name := fmt.Sprintf("assistant-%02d", r.random.IntN(engines))
	faults := []emulator.EngineFaults{{Crashed: true}, {Draining: true}, {TruncateShare: 0.3}, {WrongIDShare: 0.3}, {RefuseShare: 0.5}, {HideLoad: true}, {Slowdown: 5}}
	fault, after := faults[r.random.IntN(len(faults))], r.randomDuration(3*time.Second)
	r.log("fault=engine engine=%s faults=%+v heals_after=%s", name, fault, after)
	if target, known := r.deployment.Fleet.Engine(name); known {
		target.SetFaults(fault)
		time.AfterFunc(after, func() { target.SetFaults(emulator.EngineFaults{}) })
	}
}

func (r *run) injectPlatformFault() {
	faults := []emulator.PlatformFaults{{Down: true}, {LoseAnswerShare: 0.4}, {Latency: settings.Duration(platformLatency)}, {OperationsPerSecond: 40}}
	fault, after := faults[r.random.IntN(len(faults))], r.randomDuration(4*time.Second)
	r.log("fault=platform faults=%+v heals_after=%s", fault, after)
	r.deployment.Platform.SetFaults(fault)
	time.AfterFunc(after, func() { r.deployment.Platform.SetFaults(emulator.PlatformFaults{}) })
}

func (r *run) clearFaults() {
	r.deployment.Platform.SetFaults(emulator.PlatformFaults{})
	for index := range engines {
		if target, known := r.deployment.Fleet.Engine(fmt.Sprintf("assistant-%02d", index)); known {
			target.SetFaults(emulator.EngineFaults{})
		}
	}
}

// check waits for the jobs and checks every guarantee.
func (r *run) check() error {
	if len(r.violations) > 0 {
		return r.violations[0]
	}
	for _, name := range r.jobs {
		if err := r.checkJob(name); err != nil {
			return err
		}
	}
	started := checker.StartedTimes(r.deployment.Fleet.Ledger())
	for index := range r.summary.Once {
		if count := started[oncePrompt(index)]; count > 1 {
			return failure.New(failure.KindInternal, "ran_twice", "request %q was started %d times", oncePrompt(index), count)
		}
	}
	return nil
}

func (r *run) checkJob(name string) error {
	caller := r.deployment.Caller(0, harness.ExampleKey)
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
		time.Sleep(drainPollInterval)
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
