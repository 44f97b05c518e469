// Package daemon assembles one topazpulley daemon from its parts. Use New, then Start, and Stop
// for a planned stop or Kill for an immediate one.
package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"time"

	"github.com/pkg/errors"

	"topazpulley/internal/acceptor"
	"topazpulley/internal/batch"
	"topazpulley/internal/boottime"
	"topazpulley/internal/bundle"
	"topazpulley/internal/cluster"
	"topazpulley/internal/engine"
	"topazpulley/internal/failure"
	"topazpulley/internal/gateway"
	"topazpulley/internal/machines"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/registry"
	"topazpulley/internal/revision"
	"topazpulley/internal/routing"
	"topazpulley/internal/settings"
	"topazpulley/internal/stopping"
	"topazpulley/internal/storage"
	"topazpulley/internal/supervisor"
	"topazpulley/internal/telemetry"
)

const (
	engineStallTimeout = 5 * time.Second
	stopTimeout        = 90 * time.Second
	workerStopTimeout  = 10 * time.Second
	shutdownTimeout    = 3 * time.Second
	keepAlivePeriod    = 30 * time.Second
)

// Daemon is one running daemon.
type Daemon struct {
	settings    settings.Settings
	log         *slog.Logger
	transport   *peer.Transport
	node        *cluster.Node
	registry    *registry.Registry
	holder      *revision.Holder
	watcher     *revision.Watcher
	machines    *machines.Watcher
	worker      *batch.Worker
	coordinator *batch.Coordinator
	supervisor  *supervisor.Supervisor
	gateway     *gateway.Gateway
	wakeups     *boottime.Wakeups
	limitFleet  *ratelimit.ClusterFleet
	lifetime    context.Context
	cancel      context.CancelFunc
	listener    net.Listener
}

// Options change a daemon's behavior for experiments.
type Options struct {
	// Routing is the online routing policy; empty means routing.PolicyFull.
	Routing routing.Policy
	// WithoutHints disables the hints by which gateways announce online requests to the
	// supervisors of engines.
	WithoutHints bool
}

// New assembles a daemon. The settings must be valid.
func New(process settings.Settings, options Options, log *slog.Logger) *Daemon {
	if options.Routing == "" {
		options.Routing = routing.PolicyFull
	}
	lifetime, cancel := context.WithCancel(context.Background())
	d := &Daemon{settings: process, log: log, lifetime: lifetime, cancel: cancel, registry: registry.New(), holder: revision.NewHolder(), wakeups: boottime.NewWakeups(nil, log)}
	d.transport = peer.NewTransport(process.Name, process.PeerAddress, process.ClusterKeyBytes(), log)
	d.node = cluster.NewNode(membership.DefaultConfig(time.Duration(process.ProbeInterval)), d.member(), d.transport, log)
	client := storage.NewClient(storage.NewHTTPClient(process.PlatformURL), process.PlatformOperationsPerSecond)
	store := batch.NewStore(client)
	engines := engine.NewClient(engineStallTimeout)
	metrics := telemetry.NewMetrics()
	engines.Quarantine = d.newQuarantine(metrics)
	d.watcher = revision.NewWatcher(d.holder, client, d.node, d.transport, d.verify, log)
	d.machines = machines.NewWatcher(client, d.node, d.registry, process.Seeds, log)
	d.worker = batch.NewWorker(store, d.node, d.transport, log)
	d.coordinator = batch.NewCoordinator(store, d.node, d.transport, d.holder.TenantWeight, log)
	d.supervisor = supervisor.New(d.node, d.registry, d.holder, engines, d.worker, log)
	d.limitFleet = ratelimit.NewClusterFleet(d.node, d.transport, log)
	limits := ratelimit.New(d.limitFleet, ratelimit.ToleranceOf(process), telemetry.NewTenants(metrics.Registry), log)
	d.limitFleet.Handle(limits)
	d.limitFleet.SetRegistered(nil) // other daemons are found by the seeds and the machine list
	d.gateway = gateway.New(lifetime, gateway.Dependencies{
		Settings: process, Node: d.node, Transport: d.transport, Registry: d.registry, Holder: d.holder, Log: revision.NewLog(client), Watcher: d.watcher,
		Platform: client, Engines: engines, Store: store, Coordinator: d.coordinator, Worker: d.worker, Yielder: d.supervisor,
		Limits: limits, Metrics: metrics, Logger: log, Wakeups: d.wakeups, Routing: options.Routing, WithoutHints: options.WithoutHints, Describe: d.duties,
	})
	d.registerGauges(metrics, client)
	d.node.Subscribe(d.registry.Receive)
	d.node.Subscribe(d.worker.Receive)
	d.node.Subscribe(d.supervisor.Receive)
	d.node.Subscribe(d.watcher.Receive)
	return d
}

// newQuarantine creates the quarantine guard. Its evidence is published to all daemons and not
// stored.
func (d *Daemon) newQuarantine(metrics *telemetry.Metrics) *quarantine.Guard {
	policy := quarantine.Policy{Crashes: d.settings.QuarantineCrashes, Time: time.Duration(d.settings.QuarantineTime)}
	publisher := quarantine.NewClusterPublisher(d.node, nil, d.log)
	guard := quarantine.NewGuard(policy, publisher, telemetry.NewQuarantine(metrics.Registry), d.log)
	publisher.Listen(guard)
	return guard
}

// member describes this daemon to others. Its incarnation is the start time in milliseconds, so
// that it is higher than that of any earlier process of the same name.
func (d *Daemon) member() membership.Member {
	return membership.Member{
		Name: d.settings.Name, Address: d.settings.AdvertiseAddress, HTTPAddress: d.settings.HTTPAddress,
		Zone: d.settings.Zone, Region: d.settings.Region, Incarnation: time.Now().UnixMilli(),
	}
}

func (d *Daemon) verify(text string, signatures []bundle.Signature) error {
	return bundle.Verify(text, signatures, d.settings.OperatorKeys, d.settings.RequiredSignatures)
}

func (d *Daemon) duties() gateway.Duties {
	return gateway.Duties{Engines: d.supervisor.Engines(), Coordinator: d.coordinator.Describe(), Refused: d.transport.Refused()}
}

func (d *Daemon) registerGauges(metrics *telemetry.Metrics, client *storage.Client) {
	metrics.Gauge("members", "Live members as this daemon sees them.", func() float64 { return float64(len(d.node.Members())) })
	metrics.Gauge("revision", "Configuration revision in force.", func() float64 {
		current, _ := d.holder.Current()
		return float64(current.Number)
	})
	metrics.Gauge("gossip_sent_bytes", "Bytes sent for membership since start.", func() float64 { return float64(d.node.Statistics().BytesSent) })
	metrics.Gauge("suspicions", "Suspicions raised since start.", func() float64 { return float64(d.node.Statistics().Suspicions) })
	metrics.Gauge("platform_calls", "Calls to the platform since start.", func() float64 {
		calls, _ := client.Calls()
		return float64(calls)
	})
	metrics.Gauge("platform_failures", "Failed calls to the platform since start.", func() float64 {
		_, failures := client.Calls()
		return float64(failures)
	})
	metrics.Gauge("held_chunks", "Batch chunks that this daemon holds.", func() float64 { return float64(d.worker.Held()) })
	metrics.Gauge("refused_peers", "Datagrams and peer connections without the cluster key since start.", func() float64 { return float64(d.transport.Refused()) })
}

// Start binds the listeners and starts all background work. The daemon becomes ready when it has
// the highest revision.
func (d *Daemon) Start() error {
	listener, err := d.listen()
	if err != nil {
		return err
	}
	d.listener = listener
	if err := d.transport.Start(); err != nil {
		_ = listener.Close()
		return err
	}
	for _, run := range []func(context.Context){
		d.node.Run, d.machines.Run, d.watcher.Run, d.worker.Run, d.coordinator.Run, d.supervisor.Run, d.gateway.RunAggregates, d.wakeups.Run, d.limitFleet.ProbeMissing, d.becomeReady,
	} {
		go run(d.lifetime)
	}
	go func() {
		if err := d.gateway.Serve(listener); err != nil {
			d.log.Error("http_serve_failed", "error", err)
		}
	}()
	d.log.Info("daemon_started", "http", d.settings.HTTPAddress, "peer", d.settings.PeerAddress, "zone", d.settings.Zone)
	return nil
}

func (d *Daemon) listen() (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: keepAlivePeriod}
	listener, err := config.Listen(d.lifetime, "tcp", d.settings.HTTPAddress)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindUnavailable, "http_listen", "cannot listen on %s: choose a free address", d.settings.HTTPAddress)
	}
	listener = acceptor.Retrying(listener, d.log)
	if d.settings.TLSCertificateFile == "" {
		return listener, nil
	}
	certificate, err := tls.LoadX509KeyPair(d.settings.TLSCertificateFile, d.settings.TLSKeyFile)
	if err != nil {
		_ = listener.Close()
		return nil, failure.Wrap(err, failure.KindInvalid, "tls_files", "tls_certificate_file and tls_key_file must hold a matching pair")
	}
	return tls.NewListener(listener, &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}), nil
}

func (d *Daemon) becomeReady(ctx context.Context) {
	if err := d.watcher.Bootstrap(ctx); err != nil {
		return
	}
	d.gateway.SetReady(true)
	current, _ := d.holder.Current()
	d.log.Info("daemon_ready", "revision", current.Number)
}

// Stop ends the daemon without interrupting a request. It reports not ready, releases batch work,
// leaves the membership, accepts requests for the linger time (StopLinger), waits for running
// requests and then ends.
func (d *Daemon) Stop() error {
	d.log.Info("daemon_stopping")
	d.gateway.BeginStop(stopping.Plan{Began: time.Now(), Grace: stopTimeout})
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.releaseBatch(ctx)
	d.node.Leave()
	time.Sleep(time.Duration(d.settings.StopLinger))
	_ = d.listener.Close()
	d.gateway.Wait(ctx)
	err := d.Kill()
	d.log.Info("daemon_stopped")
	return err
}

func (d *Daemon) releaseBatch(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, workerStopTimeout)
	defer cancel()
	d.supervisor.StopBatch()
	d.worker.Stop(bounded)
}

// Kill ends the daemon at once, without leaving the membership or releasing batch work.
func (d *Daemon) Kill() error {
	d.cancel()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = d.listener.Close()
	err := d.gateway.Shutdown(ctx)
	d.transport.Stop()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return errors.WithStack(err)
}

// Name returns the daemon's name.
func (d *Daemon) Name() string { return d.settings.Name }

// HTTPAddress returns the address of the HTTP listener.
func (d *Daemon) HTTPAddress() string { return d.settings.HTTPAddress }
