package scale

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"syscall"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/failure"
	"topazpulley/internal/harness"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
	"topazpulley/internal/registry"
	"topazpulley/internal/supervisor"
)

// LoopbackConfig describes a run over real sockets.
type LoopbackConfig struct {
	Topology
	// Real daemons with a platform and engines run beside the hollow ones.
	Real int
	// Span is the length of the steady state.
	Span time.Duration
}

// socketDaemon is a hollow daemon with real sockets: the daemon's own
// transport and membership, and the spreading of engine loads.
type socketDaemon struct {
	node      *cluster.Node
	transport *peer.Transport
	registry  *registry.Registry
	zone      int
}

const (
	loopbackHost     = "127.77.%d.%d:7400"
	convergeBound    = 2 * time.Minute
	loopbackPoll     = 200 * time.Millisecond
	realEngines      = 4
	realTimeScale    = 0.2
	detectionBound   = 2 * time.Minute
	probeIntervalRun = time.Second
)

// RunLoopback starts hollow daemons over real UDP and TCP and, beside them, a
// small real deployment that shares the machine, and measures a steady state
// and one failure.
func RunLoopback(config LoopbackConfig, output io.Writer) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	daemons, err := startSockets(ctx, config)
	defer stopSockets(daemons)
	if err != nil {
		return err
	}
	started := time.Now()
	if !waitFor(convergeBound, func() bool { return allSee(daemons, config.Daemons) }) {
		return failure.New(failure.KindDeadline, "not_converged", "%d hollow daemons did not find each other", config.Daemons)
	}
	fmt.Fprintf(output, "step=%q took=%s\n", "all start at once, sockets", time.Since(started).Round(time.Millisecond))
	if err := measureSteady(daemons, config, output); err != nil {
		return err
	}
	if config.Real > 0 {
		if err := runReal(config, output); err != nil {
			return err
		}
	}
	return measureFailure(daemons, output)
}

func startSockets(ctx context.Context, config LoopbackConfig) ([]*socketDaemon, error) {
	daemons := []*socketDaemon{}
	for index := range config.Daemons {
		started, err := startSocket(ctx, config, index)
		if err != nil {
			return daemons, err
		}
		daemons = append(daemons, started)
	}
	return daemons, nil
}

func socketAddress(index int) string { return fmt.Sprintf(loopbackHost, index/250, index%250+1) }

func startSocket(ctx context.Context, config LoopbackConfig, index int) (*socketDaemon, error) {
	log := slog.New(slog.DiscardHandler)
	daemon := &socketDaemon{zone: index % config.Zones, registry: registry.New()}
	daemon.transport = peer.NewTransport(name(index), socketAddress(index), make([]byte, 32), log)
	self := membership.Member{
		Name: name(index), Address: socketAddress(index), HTTPAddress: socketAddress(index), Zone: zoneName(daemon.zone),
		Region: fmt.Sprintf("region-%d", daemon.zone%config.Regions), Incarnation: time.Now().UnixMilli(),
	}
	daemon.node = cluster.NewNode(membership.DefaultConfig(probeIntervalRun), self, daemon.transport, log)
	daemon.node.Subscribe(daemon.registry.Receive)
	daemon.node.SetSeeds([]string{socketAddress(0), socketAddress(index / 2), socketAddress(index * 2 / 3)})
	if err := daemon.transport.Start(); err != nil {
		return nil, err
	}
	go daemon.node.Run(ctx)
	go daemon.publishLoads(ctx, config)
	return daemon, nil
}

// publishLoads spreads the loads of the engines that fall to this daemon at
// the supervisors' interval.
func (d *socketDaemon) publishLoads(ctx context.Context, config LoopbackConfig) {
	interval := supervisor.LoadInterval(config.Engines / config.Zones)
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	periodic.Run(ctx, interval, func() { d.publishOnce(config, random) })
}

func (d *socketDaemon) publishOnce(config LoopbackConfig, random *rand.Rand) {
	names := d.node.ZoneNames()
	for engine := d.zone; engine < config.Engines; engine += config.Zones {
		if duty.Owner(supervisor.EngineDuty(engineName(engine)), names) != d.node.Self().Name {
			continue
		}
		load := registry.LoadRecord{Online: random.IntN(loadRange), Batch: random.IntN(loadRange), KVPermille: random.IntN(1000), BatchWindow: random.IntN(loadRange)}
		d.node.Publish(membership.Item{Key: registry.PrefixLoad + engineName(engine), Zone: zoneName(d.zone), Priority: membership.PriorityLoad, Payload: load.Encode()})
	}
}

func stopSockets(daemons []*socketDaemon) {
	for _, daemon := range daemons {
		daemon.transport.Stop()
	}
}

func waitFor(bound time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(bound)
	for time.Now().Before(deadline) {
		if condition() {
			return true
		}
		time.Sleep(loopbackPoll)
	}
	return false
}

func allSee(daemons []*socketDaemon, members int) bool {
	for _, daemon := range daemons {
		if len(daemon.node.Members()) != members {
			return false
		}
	}
	return true
}

// processorTime returns the processor time of this process.
func processorTime() time.Duration {
	usage := syscall.Rusage{}
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func measureSteady(daemons []*socketDaemon, config LoopbackConfig, output io.Writer) error {
	time.Sleep(config.Span / 2)
	processor, sent, suspicions := processorTime(), sentBytes(daemons), suspicionsOf(daemons)
	time.Sleep(config.Span)
	seconds := config.Span.Seconds()
	count := float64(len(daemons))
	memory := float64(heapInUse()) / count / (1 << 20)
	fmt.Fprintf(output, "step=%q sent=%.0fB/s core=%.3f%% memory=%.2fMB suspicions=%d\n", "steady state, sockets",
		float64(sentBytes(daemons)-sent)/seconds/count, (processorTime()-processor).Seconds()/seconds/count*100, memory, suspicionsOf(daemons)-suspicions)
	return nil
}

func sentBytes(daemons []*socketDaemon) uint64 {
	total := uint64(0)
	for _, daemon := range daemons {
		total += daemon.node.Statistics().BytesSent
	}
	return total
}

func suspicionsOf(daemons []*socketDaemon) uint64 {
	total := uint64(0)
	for _, daemon := range daemons {
		total += daemon.node.Statistics().Suspicions
	}
	return total
}

// measureFailure kills one hollow daemon and waits until no other believes in
// it.
func measureFailure(daemons []*socketDaemon, output io.Writer) error {
	victim := len(daemons) / 2
	daemons[victim].transport.Stop()
	started := time.Now()
	known := waitFor(detectionBound, func() bool {
		for index, daemon := range daemons {
			member, seen := daemon.node.Member(name(victim))
			if index != victim && seen && member.Live() {
				return false
			}
		}
		return true
	})
	fmt.Fprintf(output, "step=%q took=%s known=%t\n", "one daemon fails, sockets", time.Since(started).Round(time.Millisecond), known)
	return nil
}

// runReal starts real daemons with a platform and engines beside the hollow
// ones and serves a batch through them.
func runReal(config LoopbackConfig, output io.Writer) error {
	started := time.Now()
	running, err := harness.Start(harness.Config{
		Zones: []string{"real"}, Region: "real", DaemonsPerZone: config.Real, Host: "127.0.0.1",
		Engines:    harness.ExampleEngines(realEngines, 1, realTimeScale),
		BundleText: harness.ExampleBundle("1"), ProbeInterval: probeIntervalRun, StopLinger: time.Second, Log: slog.New(slog.DiscardHandler),
	})
	if err != nil {
		return err
	}
	defer running.Stop()
	up := time.Since(started)
	processor := processorTime()
	time.Sleep(config.Span / 2)
	share := (processorTime() - processor).Seconds() / (config.Span / 2).Seconds()
	fmt.Fprintf(output, "step=%q up=%s process_core=%.1f%% platform_calls=%d\n", fmt.Sprintf("%d real daemons beside", config.Real), up.Round(time.Millisecond), share*100, running.Platform.Calls())
	return nil
}
