package command

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/oklog/ulid/v2"

	"topazpulley/internal/batch"
	"topazpulley/internal/client"
	"topazpulley/internal/failure"
)

// jobCommand is one subcommand of job. flags registers its flags beyond the common
// ones, or is nil; run executes it.
type jobCommand struct {
	helpTexts
	remoteFlags
	file     string
	endpoint string
	key      string
	wait     bool
	errors   bool
	flags    func(j *jobCommand, flags *flag.FlagSet)
	run      func(j *jobCommand, arguments []string) error
}

const (
	jobPollInterval  = 500 * time.Millisecond
	progressBarWidth = 40
)

// SetFlags implements subcommands.Command.
func (j *jobCommand) SetFlags(flags *flag.FlagSet) {
	j.remoteFlags.setFlags(flags, "api-key", apiKeyVariable, "tenant's API `key`")
	if j.flags != nil {
		j.flags(j, flags)
	}
}

// Execute implements subcommands.Command.
func (j *jobCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if err := j.run(j, flags.Args()); err != nil {
		return fail(err)
	}
	return subcommands.ExitSuccess
}

func jobCommands() []subcommands.Command {
	return []subcommands.Command{
		&jobCommand{helpTexts: helpTexts{"submit", "submit a JSONL file as a job", "--file FILE [--wait]"}, flags: submitFlags, run: submitJob},
		&jobCommand{helpTexts: helpTexts{"status", "show a job", "[--wait] ID"}, flags: waitFlags, run: showJob},
		&jobCommand{helpTexts: helpTexts{"cancel", "cancel a job", "ID"}, run: cancelJob},
		&jobCommand{helpTexts: helpTexts{"results", "print a job's results", "[--errors] ID"}, flags: resultFlags, run: printResults},
	}
}

func submitFlags(j *jobCommand, flags *flag.FlagSet) {
	flags.StringVar(&j.file, "file", "", "JSONL `file`")
	flags.StringVar(&j.endpoint, "endpoint", batch.EndpointCompletions, "endpoint that each item calls")
	flags.StringVar(&j.key, "key", "", "idempotency `key`; submitting again with the same key returns the same job")
	waitFlags(j, flags)
}

func waitFlags(j *jobCommand, flags *flag.FlagSet) {
	flags.BoolVar(&j.wait, "wait", false, "wait until the job has ended")
}

func resultFlags(j *jobCommand, flags *flag.FlagSet) {
	flags.BoolVar(&j.errors, "errors", false, "print the failed items instead")
}

func (j *jobCommand) remote() *client.Client { return client.New(j.address, j.remoteFlags.key) }

func submitJob(j *jobCommand, _ []string) error {
	content, err := readFile(j.file)
	if err != nil {
		return err
	}
	if j.key == "" {
		j.key = ulid.Make().String()
	}
	file, err := j.remote().Upload(content)
	if err != nil {
		return err
	}
	job, err := j.remote().CreateBatch(file.ID, j.endpoint, j.key)
	if err != nil {
		fmt.Fprintf(os.Stderr, "key=%s\n", j.key)
		return err
	}
	if j.wait {
		return j.waitFor(job.ID)
	}
	printJob(job)
	return nil
}

func singleID(arguments []string) (string, error) {
	if len(arguments) != 1 {
		return "", failure.New(failure.KindInvalid, "usage", "give one job id")
	}
	return arguments[0], nil
}

func showJob(j *jobCommand, arguments []string) error {
	id, err := singleID(arguments)
	if err != nil {
		return err
	}
	if j.wait {
		return j.waitFor(id)
	}
	job, err := j.remote().Batch(id)
	if err != nil {
		return err
	}
	printJob(job)
	return nil
}

// waitFor polls until the job has ended. It shows a progress bar on a terminal and
// prints plain lines otherwise. It keeps polling while the daemon or the platform
// is unavailable.
func (j *jobCommand) waitFor(id string) error {
	isTerminal := isTerminal(os.Stdout)
	for {
		job, err := j.remote().Batch(id)
		if err != nil && !failure.Is(err, failure.KindUnavailable) {
			return err
		}
		if err == nil {
			showProgress(job, isTerminal)
		}
		if err == nil && job.Ended() {
			return nil
		}
		time.Sleep(jobPollInterval)
	}
}

func showProgress(job client.Batch, isTerminal bool) {
	if !isTerminal {
		printJob(job)
		return
	}
	done := job.RequestCounts.Completed + job.RequestCounts.Failed
	filled := done * progressBarWidth / max(job.RequestCounts.Total, 1)
	bar := strings.Repeat("#", filled) + strings.Repeat(".", progressBarWidth-filled)
	fmt.Printf("\r[%s] %d/%d failed=%d %s ", bar, done, job.RequestCounts.Total, job.RequestCounts.Failed, job.Status)
	if job.Ended() {
		fmt.Println()
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func printJob(job client.Batch) {
	fmt.Printf("job=%s status=%s total=%d completed=%d failed=%d\n",
		job.ID, job.Status, job.RequestCounts.Total, job.RequestCounts.Completed, job.RequestCounts.Failed)
}

func cancelJob(j *jobCommand, arguments []string) error {
	id, err := singleID(arguments)
	if err != nil {
		return err
	}
	job, err := j.remote().CancelBatch(id)
	if err != nil {
		return err
	}
	printJob(job)
	return nil
}

func printResults(j *jobCommand, arguments []string) error {
	id, err := singleID(arguments)
	if err != nil {
		return err
	}
	job, err := j.remote().Batch(id)
	if err != nil {
		return err
	}
	file := job.OutputFileID
	if j.errors {
		file = job.ErrorFileID
	}
	content, err := j.remote().FileContent(file)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(content)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "output", "cannot write the results")
	}
	return nil
}
