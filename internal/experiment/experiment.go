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

// Policy is a set of options under which a deployment runs.
type Policy struct {
	Name    string
	Options daemon.Options
	// Window and Guard replace the deployment's batch policy when positive.
	Window int
	Guard  int
}

// Policies are the known policies by name: "full" is the default configuration,
// the others are baselines.
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
	"batch_ungated":   {Name: "batch_ungated", Guard: unlimited},
	"batch_static":    {Name: "batch_static", Window: 8, Guard: unlimited},
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

// Quantiles are quantiles of a latency, in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
}

// Row is the result of one policy; each figure is the median over seeds.
type Row struct {
	Policy string `json:"policy"`
	// FirstToken and BetweenTokens are online latencies with batch work, FirstTokenAlone
	// and BetweenTokensAlone those without.
	FirstToken         Quantiles `json:"first_token"`
	FirstTokenAlone    Quantiles `json:"first_token_alone"`
	BetweenTokens      Quantiles `json:"between_tokens"`
	BetweenTokensAlone Quantiles `json:"between_tokens_alone"`
	// LatencyRatio is the online p99 time to first token with batch work divided by
	// that without; LatencyRatioRange is its minimum and maximum over seeds.
	LatencyRatio      float64    `json:"harm"`
	LatencyRatioRange [2]float64 `json:"harm_spread"`
	// BatchTokens is the batch throughput in tokens per second; BatchShare is its
	// share of the capacity that online work leaves free.
	BatchTokens float64 `json:"batch_tokens_per_second"`
	BatchShare  float64 `json:"batch_share_of_idle"`
	// Refused (overloaded) and Failed are shares of online requests.
	Refused float64 `json:"refused"`
	Failed  float64 `json:"failed"`
	// CacheHit is the share of prompt tokens found in prefix caches.
	CacheHit float64 `json:"cache_hit"`
	// Wasted is the share of prefilled tokens that belong to cancelled batch items.
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
	// CapacityTokens is the batch throughput without online work, in tokens per second.
	CapacityTokens float64 `json:"capacity_tokens_per_second"`
	Rows           []Row   `json:"rows"`
}

// Run measures every policy once per seed and writes progress lines. For each
// seed it measures all policies in turn, so that other load on the machine affects
// all of them alike.
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
			fmt.Fprintf(progress, "seed=%d policy=%s harm=%.3f batch_share=%.3f first_token_p99=%.0fms\n", config.FirstSeed+uint64(seed), name, row.LatencyRatio, row.BatchShare, row.FirstToken.P99)
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
	warmUp           = 2 * time.Second
	capacityJobItems = 20000
	batchLeadTime    = 3 * time.Second
	phasePause       = time.Second
)

// capacity measures the batch throughput of fully loaded engines without online
// work, in tokens per second.
func (d Deployment) capacity(span time.Duration) (float64, error) {
	running, callers, err := d.start(emulator.DefaultEngineModel().MaxRunning, unlimited, daemon.Options{})
	if err != nil {
		return 0, err
	}
	defer running.Stop()
	full := d
	full.JobItems = capacityJobItems
	if err := full.submitJobs(callers[0], warmUp, "capacity"); err != nil {
		return 0, err
	}
	time.Sleep(batchLeadTime)
	before := measureEngines(running)
	time.Sleep(span / 2)
	return float64(measureEngines(running).minus(before).batch) / (span / 2).Seconds(), nil
}

// measure runs the online load first without and then with batch work.
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
	time.Sleep(phasePause)
	submitted := make(chan error, 1)
	go func() { submitted <- d.submitJobs(callers[0], span+batchLeadTime, policy.Name) }()
	time.Sleep(batchLeadTime)
	before, started := measureEngines(running), time.Now()
	together := runOnline(callers, d.arrivals(span, len(callers), seed, "together"))
	seconds := time.Since(started).Seconds()
	consumed := measureEngines(running).minus(before)
	if err := <-submitted; err != nil {
		return Row{}, err
	}
	return d.row(policy, alone, together, consumed, seconds, capacity), nil
}

func (d Deployment) row(policy Policy, alone, together *onlineResult, consumed usage, seconds, capacity float64) Row {
	online := float64(consumed.online) / seconds
	batchRate := float64(consumed.batch) / seconds
	requests := float64(max(together.completed+together.refused+together.failed, 1))
	row := Row{
		Policy: policy.Name, FirstToken: quantiles(together.firstToken), FirstTokenAlone: quantiles(alone.firstToken),
		BetweenTokens: quantiles(together.between), BetweenTokensAlone: quantiles(alone.between),
		BatchTokens: batchRate, BatchShare: batchRate / max(capacity-online, 1),
		Refused: float64(together.refused) / requests, Failed: float64(together.failed) / requests,
		CacheHit: float64(consumed.cached) / float64(max(consumed.cached+consumed.prompt, 1)), Wasted: float64(consumed.wasted) / float64(max(consumed.prompt, 1)),
	}
	row.LatencyRatio = row.FirstToken.P99 / row.FirstTokenAlone.P99
	return row
}

func quantiles(histogram *hdrhistogram.Histogram) Quantiles {
	at := func(quantile float64) float64 { return float64(histogram.ValueAtQuantile(quantile)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}

// medianRow returns the median of each figure over seeds. With an even number of
// rows it takes the greater of the two middle values.
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
		BetweenTokens: pickAll(func(r Row) Quantiles { return r.BetweenTokens }), BetweenTokensAlone: pickAll(func(r Row) Quantiles { return r.BetweenTokensAlone }),
		LatencyRatio: pick(func(r Row) float64 { return r.LatencyRatio }), BatchTokens: pick(func(r Row) float64 { return r.BatchTokens }),
		BatchShare: pick(func(r Row) float64 { return r.BatchShare }), Refused: pick(func(r Row) float64 { return r.Refused }),
		Failed: pick(func(r Row) float64 { return r.Failed }), CacheHit: pick(func(r Row) float64 { return r.CacheHit }), Wasted: pick(func(r Row) float64 { return r.Wasted }),
	}
	median.LatencyRatioRange = [2]float64{rows[0].LatencyRatio, rows[0].LatencyRatio}
	for _, row := range rows {
		median.LatencyRatioRange[0] = min(median.LatencyRatioRange[0], row.LatencyRatio)
		median.LatencyRatioRange[1] = max(median.LatencyRatioRange[1], row.LatencyRatio)
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
			row.Policy, row.FirstToken.P50, row.FirstToken.P95, row.FirstToken.P99, row.FirstTokenAlone.P99, row.LatencyRatio, row.LatencyRatioRange[0], row.LatencyRatioRange[1],
			row.BetweenTokens.P95, row.BetweenTokensAlone.P95, row.BatchTokens, row.BatchShare, row.Refused, row.Failed, row.CacheHit, row.Wasted)
	}
}
