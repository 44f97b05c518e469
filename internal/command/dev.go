package command

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"topazpulley/internal/batch"
	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
	"topazpulley/internal/telemetry"
)

// devCommand runs a daemon, the emulated platform and emulated engines in one
// process on loopback.
type devCommand struct {
	once    bool
	file    string
	port    int
	verbose bool
}

const (
	devModelEngines = 2
	devPlainEngines = 1
	devTimeScale    = 0.2
	devItems        = 40
	devItemTokens   = 16
	devOnlineTokens = 24
	devOnceTimeout  = 2 * time.Minute
	devPort         = 8080
	devHost         = "127.0.0.1"
)

// Name implements subcommands.Command.
func (*devCommand) Name() string { return "dev" }

// Synopsis implements subcommands.Command.
func (*devCommand) Synopsis() string { return "run a daemon with an emulated platform and engines" }

// Usage implements subcommands.Command.
func (*devCommand) Usage() string {
	return "dev [--once] [flags]\n  Runs an emulated platform, emulated engines, one daemon and a signed example bundle in one process on loopback.\n\nFlags:\n"
}

// SetFlags implements subcommands.Command.
func (d *devCommand) SetFlags(flags *flag.FlagSet) {
	flags.BoolVar(&d.once, "once", false, "run one batch and one online request, print the results and exit")
	flags.StringVar(&d.file, "file", "", "JSONL `file` for --once instead of the embedded sample")
	flags.IntVar(&d.port, "port", devPort, "HTTP `port` of the daemon; 0 chooses a free one")
	flags.BoolVar(&d.verbose, "verbose", false, "log events to standard error")
}

// Execute implements subcommands.Command.
func (d *devCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	port := d.port
	if d.once {
		port = 0
	}
	running, err := harness.Start(harness.Config{
		Zones: []string{"local"}, Region: "local", DaemonsPerZone: 1, Host: devHost, FirstDaemonPort: port,
		Engines:    harness.ExampleEngines(devModelEngines, devPlainEngines, devTimeScale),
		BundleText: harness.ExampleBundle("1"), ProbeInterval: time.Second, StopLinger: time.Second, Log: d.log(),
	})
	if err != nil {
		return fail(err)
	}
	defer running.Stop()
	if d.once {
		return d.runOnce(running)
	}
	printDev(running)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	return subcommands.ExitSuccess
}

func (d *devCommand) log() *slog.Logger {
	if !d.verbose {
		return slog.New(slog.DiscardHandler)
	}
	return telemetry.NewLogger(os.Stderr, slog.LevelInfo, "dev")
}

func printDev(running *harness.Harness) {
	address := running.Daemons[0].HTTPAddress()
	fmt.Printf("daemon    http://%s\nplatform  %s\napi key   %s\noperator  %s\n\n", address, running.PlatformURL, harness.ExampleKey, running.OperatorToken)
	fmt.Println("Paste to stream one answer:")
	fmt.Printf("  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"Why is my bill higher?\",\"max_tokens\":24,\"stream\":true}'\n\n",
		address, harness.ExampleKey, harness.ExampleModel)
	fmt.Println("Paste to run one batch:")
	fmt.Printf("  go run ./cmd/topazpulley job submit --daemon http://%s --api-key %s --file examples/readings.jsonl --wait\n\n", address, harness.ExampleKey)
	fmt.Println("Serving until interrupted.")
}

// runOnce runs a batch and an online request and checks that every batch item
// completed exactly once.
func (d *devCommand) runOnce(running *harness.Harness) subcommands.ExitStatus {
	content := []byte(harness.ExampleItems(devItems, devItemTokens))
	if d.file != "" {
		read, err := readFile(d.file)
		if err != nil {
			return fail(err)
		}
		content = read
	}
	caller := running.Caller(0, harness.ExampleKey)
	if err := runSample(caller, content); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func runSample(caller *client.Client, content []byte) error {
	started := time.Now()
	file, err := caller.Upload(content)
	if err != nil {
		return err
	}
	job, err := caller.CreateBatch(file.ID, batch.EndpointCompletions, "dev-once")
	if err != nil {
		return err
	}
	fmt.Print("online: ")
	request := client.Completion{Model: harness.ExampleModel, Prompt: "Why is my bill higher this month?", MaxTokens: devOnlineTokens}
	if err := caller.Stream(request, devOnceTimeout, func(text string) { fmt.Print(text) }); err != nil {
		return err
	}
	fmt.Println()
	if job, err = awaitJob(caller, job.ID); err != nil {
		return err
	}
	output, err := caller.FileContent(job.OutputFileID)
	if err != nil {
		return err
	}
	fmt.Print(string(output))
	printJob(job)
	fmt.Printf("elapsed=%s\n", time.Since(started).Round(time.Millisecond))
	return checkCompletedOnce(content, output)
}

func awaitJob(caller *client.Client, id string) (client.Batch, error) {
	deadline := time.Now().Add(devOnceTimeout)
	for time.Now().Before(deadline) {
		job, err := caller.Batch(id)
		if err != nil || job.Ended() {
			return job, err
		}
		time.Sleep(jobPollInterval / 5)
	}
	return client.Batch{}, failure.New(failure.KindDeadline, "job_slow", "job %s did not finish within %s", id, devOnceTimeout)
}

// checkCompletedOnce returns an error unless each item of input has exactly one result in
// output.
func checkCompletedOnce(input, output []byte) error {
	results, err := checker.ParseResults(output)
	if err != nil {
		return err
	}
	items, err := batch.ParseChunk(input, batch.EndpointCompletions)
	if err != nil {
		return err
	}
	for _, item := range items {
		if _, err := results.Single(item.CustomID); err != nil {
			return err
		}
	}
	return nil
}
