package experiment

import (
	"fmt"
	"io"
	"log/slog"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"topazpulley/internal/client"
	"topazpulley/internal/daemon"
	"topazpulley/internal/emulator"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
	"topazpulley/internal/routing"
)

// Policy is one way to run a deployment.
type Policy struct {
	Name    string
	Options daemon.Options
	// Window and Guard replace the deployment's batch policy when positive.
	Window int
	Guard  int
}

// Policies by name: the product and the baselines it is measured against.
var Policies = map[string]Policy{
	"full":            {Name: "full"},
	"lag_corrected":   {Name: "lag_corrected", Options: daemon.Options{Routing: routing.PolicyLagCorrected}},
	"report_only":     {Name: "report_only", Options: daemon.Options{Routing: routing.PolicyReportOnly}},
	"least_in_flight": {Name: "least_in_flight", Options: daemon.Options{Routing: routing.PolicyLeastInFlight}},
	"round_robin":     {Name: "round_robin", Options: daemon.Options{Routing: routing.PolicyRoundRobin}},
	"no_hints":        {Name: "no_hints", Options: daemon.Options{WithoutHints: true}},
	"window_18":       {Name: "window_18", Window: 18, Guard: 18},
	"window_22":       {Name: "window_22", Window: 22, Guard: 22},
	"window_26":       {Name: "window_26", Window: 26, Guard: 26},
	"batch_ungated":   {Name: "batch_ungated", Guard: unlimitedSize},
	"batch_static":    {Name: "batch_static", Window: 8, Guard: unlimitedSize},
	"batch_idle_only": {Name: "batch_idle_only", Guard: 1},
}

// Config describes an experiment.
type Config struct {
	Deployment string
	Policies   []string
	Seeds      int
	FirstSeed  uint64
	// Span is the length of each measured phase.
	Span time.Duration
	// Window and Guard replace the deployment's batch policy when positive.
	Window int
	Guard  int
}

// Quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Row is what one policy did, as medians over seeds.
type Row struct {
	Policy string `json:"policy"`
	// FirstToken and Between are online latencies with batch work;
	// FirstTokenAlone is without any.
	FirstToken      Quantiles `json:"first_token"`
	FirstTokenAlone Quantiles `json:"first_token_alone"`
	Between         Quantiles `json:"between_tokens"`
	BetweenAlone    Quantiles `json:"between_tokens_alone"`
	// Harm is the ratio of p99 first token with batch to that without;
	// HarmSpread is the lowest and highest over seeds.
	Harm       float64    `json:"harm"`
	HarmSpread [2]float64 `json:"harm_spread"`
	// BatchTokens a second, and as a share of the capacity that online leaves.
	BatchTokens float64 `json:"batch_tokens_per_second"`
	BatchShare  float64 `json:"batch_share_of_idle"`
	// Refused and Failed are shares of online requests.
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// CacheHit is the share of prompt tokens found in prefix caches.
	CacheHit float64 `json:"cache_hit"`
	// Wasted is the share of prefilled tokens spent on cancelled batch items.
	Wasted float64 `json:"wasted"`
}

// Report is the outcome of an experiment.
type Report struct {
	Deployment string `json:"deployment"`
	Seeds      int    `json:"seeds"`
	FirstSeed  uint64 `json:"first_seed"`
	Span       string `json:"span"`
	Window     int    `json:"batch_window_max"`
	Guard      int    `json:"batch_guard"`
	// CapacityTokens is the batch throughput without any online work.
	CapacityTokens float64 `json:"capacity_tokens_per_second"`
	Rows           []Row   `json:"rows"`
}

// Run measures the policies in turn, once a seed, so that they share whatever
// the machine does meanwhile.
func Run(config Config, progress io.Writer) (Report, error) {
	deployment, known := Deployments[config.Deployment]
	if !known {
		return Report{}, unknownDeployment(config.Deployment)
	}
	if config.Window > 0 {
		deployment.Window = config.Window
	}
	if config.Guard > 0 {
		deployment.Guard = config.Guard
	}
	report := Report{Deployment: config.Deployment, Seeds: config.Seeds, FirstSeed: config.FirstSeed, Span: config.Span.String(), Window: deployment.Window, Guard: deployment.Guard}
	capacity, err := deployment.capacity(config.Span)
	if err != nil {
		return report, err
	}
	report.CapacityTokens = capacity
	fmt.Fprintf(progress, "deployment=%s capacity=%.0f tokens/s without online work\n", deployment.Name, capacity)
	rows := map[string][]Row{}
	for seed := range config.Seeds {
		for _, name := range config.Policies {
			policy, known := Policies[name]
			if !known {
				return report, failure.New(failure.KindInvalid, "unknown_policy", "policy %q is not one of %s", name, strings.Join(policyNames(), ", "))
			}
			row, err := deployment.measure(policy, config.Span, config.FirstSeed+uint64(seed), capacity)
			if err != nil {
				return report, err
			}
			rows[name] = append(rows[name], row)
			fmt.Fprintf(progress, "seed=%d policy=%s harm=%.3f batch_share=%.3f first_token_p99=%.0fms\n", config.FirstSeed+uint64(seed), name, row.Harm, row.BatchShare, row.FirstToken.P99)
		}
	}
	for _, name := range config.Policies {
		report.Rows = append(report.Rows, medianRow(rows[name]))
	}
	return report, nil
}

func policyNames() []string {
	names := []string{}
	for name := range Policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (d Deployment) start(window, guard int, options daemon.Options) (*harness.Harness, []*client.Client, error) {
	running, err := harness.Start(harness.Config{
		Zones: d.Zones, Region: d.Name, DaemonsPerZone: 2, Engines: d.engines(), BundleText: bundleText(window, guard),
		Host: "127.0.0.1", ProbeInterval: time.Second, StopLinger: time.Second, Options: options, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return nil, nil, err
	}
	callers := []*client.Client{}
	for index := range running.Daemons {
		callers = append(callers, running.Caller(index, apiKey))
	}
	return running, callers, nil
}

const (
	warmUp         = 2 * time.Second
	capacityHeap   = 20000
	batchLeadTime  = 3 * time.Second
	afterBurstRest = time.Second
)

// capacity measures the batch throughput of full engines with no online work.
func (d Deployment) capacity(span time.Duration) (float64, error) {
	running, callers, err := d.start(emulator.DefaultEngineModel().MaxRunning, unlimitedSize, daemon.Options{})
	if err != nil {
		return 0, err
	}
	defer running.Stop()
	full := d
	full.HeapItems = capacityHeap
	if err := full.submitHeaps(callers[0], warmUp, "capacity"); err != nil {
		return 0, err
	}
	time.Sleep(batchLeadTime)
	before := measureEngines(running)
	time.Sleep(span / 2)
	return float64(measureEngines(running).minus(before).batch) / (span / 2).Seconds(), nil
}

// measure runs the online load alone and then with batch work.
func (d Deployment) measure(policy Policy, span time.Duration, seed uint64, capacity float64) (Row, error) {
	window, guard := d.Window, d.Guard
	if policy.Window > 0 {
		window = policy.Window
	}
	if policy.Guard > 0 {
		guard = policy.Guard
	}
	running, callers, err := d.start(window, guard, policy.Options)
	if err != nil {
		return Row{}, err
	}
	defer running.Stop()
	runOnline(callers, d.arrivals(warmUp, len(callers), seed+1, "warm"))
	alone := runOnline(callers, d.arrivals(span, len(callers), seed, "alone"))
	time.Sleep(afterBurstRest)
	heaps := make(chan error, 1)
	go func() { heaps <- d.submitHeaps(callers[0], span+batchLeadTime, policy.Name) }()
	time.Sleep(batchLeadTime)
	before, started := measureEngines(running), time.Now()
	together := runOnline(callers, d.arrivals(span, len(callers), seed, "together"))
	seconds := time.Since(started).Seconds()
	used := measureEngines(running).minus(before)
	if err := <-heaps; err != nil {
		return Row{}, err
	}
	return d.row(policy, alone, together, used, seconds, capacity), nil
}

func (d Deployment) row(policy Policy, alone, together *onlineResult, used usage, seconds, capacity float64) Row {
	online := float64(used.online) / seconds
	batchRate := float64(used.batch) / seconds
	asked := float64(max(together.completed+together.refused+together.failed, 1))
	row := Row{
		Policy: policy.Name, FirstToken: quantiles(together.firstToken), FirstTokenAlone: quantiles(alone.firstToken),
		Between: quantiles(together.between), BetweenAlone: quantiles(alone.between),
		BatchTokens: batchRate, BatchShare: batchRate / max(capacity-online, 1),
		Refused: float64(together.refused) / asked, Failed: float64(together.failed) / asked,
		CacheHit: float64(used.cachedAll) / float64(max(used.cachedAll+used.prompt, 1)), Wasted: float64(used.wasted) / float64(max(used.prompt, 1)),
	}
	row.Harm = row.FirstToken.P99 / row.FirstTokenAlone.P99
	return row
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// medianRow takes the median of each figure over seeds.
func medianRow(rows []Row) Row {
	pick := func(value func(Row) float64) float64 {
		values := []float64{}
		for _, row := range rows {
			values = append(values, value(row))
		}
		sort.Float64s(values)
		return values[len(values)/2]
	}
	pickAll := func(quantile func(Row) Quantiles) Quantiles {
		return Quantiles{
			P50: pick(func(r Row) float64 { return quantile(r).P50 }),
			P95: pick(func(r Row) float64 { return quantile(r).P95 }),
			P99: pick(func(r Row) float64 { return quantile(r).P99 }),
		}
	}
	median := Row{
		Policy:     rows[0].Policy,
		FirstToken: pickAll(func(r Row) Quantiles { return r.FirstToken }), FirstTokenAlone: pickAll(func(r Row) Quantiles { return r.FirstTokenAlone }),
		Between: pickAll(func(r Row) Quantiles { return r.Between }), BetweenAlone: pickAll(func(r Row) Quantiles { return r.BetweenAlone }),
		Harm: pick(func(r Row) float64 { return r.Harm }), BatchTokens: pick(func(r Row) float64 { return r.BatchTokens }),
		BatchShare: pick(func(r Row) float64 { return r.BatchShare }), Refused: pick(func(r Row) float64 { return r.Refused }),
		Failed: pick(func(r Row) float64 { return r.Failed }), CacheHit: pick(func(r Row) float64 { return r.CacheHit }), Wasted: pick(func(r Row) float64 { return r.Wasted }),
	}
	median.HarmSpread = [2]float64{rows[0].Harm, rows[0].Harm}
	for _, row := range rows {
		median.HarmSpread[0] = min(median.HarmSpread[0], row.Harm)
		median.HarmSpread[1] = max(median.HarmSpread[1], row.Harm)
	}
	return median
}

// WriteTable renders the report as a text table.
func (r Report) WriteTable(output io.Writer) {
	table := tabwriter.NewWriter(output, 0, 4, 2, ' ', 0)
	defer func() { _ = table.Flush() }()
	fmt.Fprintln(table, "policy\tTTFT p50/p95/p99 ms\talone p99\tharm (spread)\tTBT p95 ms (alone)\tbatch tok/s\tof idle\trefused\tfailed\tcache\twasted")
	for _, row := range r.Rows {
		fmt.Fprintf(table, "%s\t%.0f/%.0f/%.0f\t%.0f\t%.2f (%.2f-%.2f)\t%.0f (%.0f)\t%.0f\t%.2f\t%.3f\t%.3f\t%.2f\t%.2f\n",
			row.Policy, row.FirstToken.P50, row.FirstToken.P95, row.FirstToken.P99, row.FirstTokenAlone.P99, row.Harm, row.HarmSpread[0], row.HarmSpread[1],
			row.Between.P95, row.BetweenAlone.P95, row.BatchTokens, row.BatchShare, row.Refused, row.Failed, row.CacheHit, row.Wasted)
	}
}
