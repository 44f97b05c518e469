package experiment

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"topazpulley/internal/batch"
	"topazpulley/internal/client"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
)

// onlineResult collects the latencies, in microseconds, and outcomes of online
// requests. mutex guards all fields.
type onlineResult struct {
	mutex      sync.Mutex
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
	completed  int
	refused    int
	failed     int
	tokens     int
}

const (
	histogramMax    = int64(2 * time.Minute / time.Microsecond)
	histogramDigits = 3
	requestTimeout  = time.Minute
)

func newOnlineResult() *onlineResult {
	histogram := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	return &onlineResult{firstToken: histogram(), between: histogram(), total: histogram()}
}

// arrival is one scheduled online request. at is its time since the start of the
// run.
type arrival struct {
	at     time.Duration
	prompt string
	tokens int
	daemon int
}

// arrivals returns the open-loop schedule of a run. For one seed, every policy and
// phase gets requests of the same sizes at the same times. The phase is part of the
// prompts, so that phases share only the prompt prefixes in the engines' caches.
func (d Deployment) arrivals(span time.Duration, daemons int, seed uint64, phase string) []arrival {
	random := rand.New(rand.NewPCG(seed, 17))
	schedule := []arrival{}
	at := time.Duration(0)
	for {
		rate := d.BaseRate
		if at%d.BurstEvery < d.BurstLength {
			rate = d.BurstRate
		}
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			return schedule
		}
		length := shortLength
		if random.Float64() < d.LongShare {
			length = longLength
		}
		schedule = append(schedule, arrival{
			at: at, daemon: random.IntN(daemons), tokens: minTokens + random.IntN(maxTokens-minTokens),
			prompt: prefixText(random.IntN(prefixCount)) + strings.Repeat(fmt.Sprintf("%s %d-%d ", phase, len(schedule), seed), length/4+1)[:length],
		})
	}
}

// runOnline sends the scheduled requests and waits for all answers. Latency is
// measured from the scheduled time.
func runOnline(callers []*client.Client, schedule []arrival) *onlineResult {
	result := newOnlineResult()
	var group sync.WaitGroup
	started := time.Now()
	for _, each := range schedule {
		time.Sleep(time.Until(started.Add(each.at)))
		group.Add(1)
		go func() {
			defer group.Done()
			result.send(callers[each.daemon], each, started.Add(each.at))
		}()
	}
	group.Wait()
	return result
}

func (r *onlineResult) send(caller *client.Client, each arrival, scheduled time.Time) {
	var first, last time.Time
	gaps := []time.Duration{}
	request := client.Completion{Model: modelName, Prompt: each.prompt, MaxTokens: each.tokens}
	err := caller.Stream(request, requestTimeout, func(string) {
		now := time.Now()
		if first.IsZero() {
			first = now
		} else {
			gaps = append(gaps, now.Sub(last))
		}
		last = now
	})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if err != nil {
		if failure.Is(err, failure.KindOverloaded) {
			r.refused++
		} else {
			r.failed++
		}
		return
	}
	r.completed++
	r.tokens += len(gaps) + 1
	_ = r.firstToken.RecordValue(first.Sub(scheduled).Microseconds())
	_ = r.total.RecordValue(last.Sub(scheduled).Microseconds())
	for _, gap := range gaps {
		_ = r.between.RecordValue(gap.Microseconds())
	}
}

// batchItems returns the JSONL file of a job whose prompts share prefixCount
// prefixes.
func batchItems(count int, label string) []byte {
	lines := strings.Builder{}
	for index := range count {
		fmt.Fprintf(&lines, `{"custom_id":"%d","body":{"model":"%s","prompt":"%s reading %s %d","max_tokens":%d}}`+"\n",
			index, modelName, prefixText(index%prefixCount), label, index, batchTokens)
	}
	return []byte(lines.String())
}

// submitJobs submits batch jobs until the span has passed.
func (d Deployment) submitJobs(caller *client.Client, span time.Duration, label string) error {
	started := time.Now()
	for index := 0; time.Since(started) < span; index++ {
		name := fmt.Sprintf("%s-%d", label, index)
		file, err := caller.Upload(batchItems(d.JobItems, name))
		if err != nil {
			return err
		}
		if _, err := caller.CreateBatch(file.ID, batch.EndpointCompletions, name); err != nil {
			return err
		}
		time.Sleep(min(d.JobInterval, max(span-time.Since(started), 0)))
	}
	return nil
}

// usage contains token counts from the engines' ledgers and the number of attempts.
type usage struct {
	// online and batch are generated tokens by priority.
	online, batch int
	// wasted is the number of prefilled tokens of cancelled batch items.
	wasted int
	// prompt is the number of prefilled tokens, cached that of prompt tokens found in
	// prefix caches.
	prompt, cached int
	attempts       int
}

// measureEngines returns the usage of all engines since their start.
func measureEngines(running *harness.Harness) usage {
	total := usage{}
	for _, entry := range running.Fleet.Ledger() {
		total.attempts++
		total.prompt += entry.Prefilled
		total.cached += entry.Cached
		if entry.Priority == "online" {
			total.online += entry.Generated
			continue
		}
		total.batch += entry.Generated
		if entry.Finish == "cancelled" {
			total.wasted += entry.Prefilled
		}
	}
	return total
}

func (u usage) minus(before usage) usage {
	return usage{
		online: u.online - before.online, batch: u.batch - before.batch, wasted: u.wasted - before.wasted,
		prompt: u.prompt - before.prompt, cached: u.cached - before.cached, attempts: u.attempts - before.attempts,
	}
}
