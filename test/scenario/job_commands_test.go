package scenario

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"topazpulley/internal/batch"
	"topazpulley/internal/checker"
	"topazpulley/internal/client"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

// submittedJob is a job that a script submitted.
type submittedJob struct {
	id     string
	items  int
	tokens int
	once   bool
}

// itemPrompt returns a prompt unique in the fleet, so that the number of runs of an item
// can be read from the engines' ledger.
func itemPrompt(job string, index int) string { return fmt.Sprintf("%s item %d", job, index) }

// submitJob: submit JOB DAEMON ITEMS TOKENS [once] [other]
func submitJob(f *fleet, args []string) error {
	job := submittedJob{items: parseNumber(args[2]), tokens: parseNumber(args[3])}
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
		return fmt.Errorf("resubmission created job %s instead of returning %s", job.id, known.id)
	}
	f.jobs[args[0]] = job
	return nil
}

// createJob submits a job. While the service is unavailable it retries with the same key,
// up to submitAttempts times.
func (f *fleet) createJob(caller *client.Client, key, options, lines string) (client.Batch, error) {
	made, err := client.Batch{}, error(nil)
	for range submitAttempts {
		var file string
		if file, err = f.uploadOnce(caller, key+options, lines); err == nil {
			made, err = caller.CreateBatch(file, batch.EndpointCompletions, key)
		}
		if !failure.Is(err, failure.KindUnavailable) {
			return made, err
		}
		time.Sleep(submitInterval)
	}
	return made, err
}

const (
	submitAttempts = 8
	submitInterval = 500 * time.Millisecond
)

// uploadOnce uploads a file, or returns its id if the name was uploaded before.
func (f *fleet) uploadOnce(caller *client.Client, name, content string) (string, error) {
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

// awaitProgress: progress JOB DAEMON COUNT: waits until COUNT items are completed.
func awaitProgress(f *fleet, args []string) error {
	return poll("progress of "+args[0], func() bool {
		job, err := f.callerAt(args[1]).Batch(f.jobs[args[0]].id)
		return err == nil && job.RequestCounts.Completed >= parseNumber(args[2])
	})
}

// awaitJob: await JOB DAEMON: waits until the job has ended.
func awaitJob(f *fleet, args []string) error {
	return poll("the end of "+args[0], func() bool {
		job, err := f.callerAt(args[1]).Batch(f.jobs[args[0]].id)
		return err == nil && job.Ended()
	})
}

// results returns the results of a job that are readable now, by item.
func (f *fleet) results(daemon, job string) (checker.Results, error) {
	return checker.ReadResults(f.callerAt(daemon), f.jobs[job].id)
}

// checkOnce: once JOB DAEMON: every item has exactly one result, its own. An item that
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

// checkStartedOnce checks in the engines' ledger that each item was started at most once.
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
		return fmt.Errorf("every item has an unknown outcome")
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

// checkQuiet: quiet JOB: the engines stop starting items of the job before all were
// started.
func checkQuiet(f *fleet, args []string) error {
	started := 0
	err := poll("the engines to stop starting items", func() bool {
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

// checkReadable: readable JOB DAEMON: there are results, and each is complete and
// belongs to its item.
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
		if err := checker.CheckAnswer(line, itemPrompt(args[0], parseNumber(item)), f.jobs[args[0]].tokens); err != nil {
			return err
		}
	}
	return nil
}
