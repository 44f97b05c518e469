// Package frontend assembles a daemon from its parts: the online core, the job service, the
// cluster membership and the followers of the tables that hold configuration, backends and
// jobs. The adapters for the store and the backends are passed in as Ports; the caller of New
// serves the HTTP interface.
package frontend

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"topazpulley/internal/access"
	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/cluster"
	"topazpulley/internal/exchange"
	"topazpulley/internal/job"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/quota"
	"topazpulley/internal/ratelimit"
	"topazpulley/internal/responsetimeout"
	"topazpulley/internal/route"
	"topazpulley/internal/serving"
	"topazpulley/internal/settings"
	"topazpulley/internal/streamorigin"
	"topazpulley/internal/submissionbuffer"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
	"topazpulley/internal/topology"
	"topazpulley/internal/warmup"
)

// Ports are the adapters to the store and the backends, and the names of the tables and keys
// that other programs write.
type Ports struct {
	Store          table.Store
	Sender         serving.Sender
	DecodeConfig   func(value []byte) (route.Config, error)
	DecodeInstance func(key string, value []byte) (backend.Instance, error)
	// DecodeEvacuation returns the zone of an evacuation order in ConfigTable, empty if the
	// order names none, and false if the row is no order. Nil means that there are no orders.
	DecodeEvacuation func(key string) (zone string, isOrder bool)
	ConfigTable      string
	ConfigKey        string
	InstanceTable    string
}

const (
	// watchWait is how long one watch call waits for changes.
	watchWait = 1500 * time.Millisecond
	// claimWatches limits the watch calls per second for the claims of jobs, and claimBurst
	// their burst. In a large fleet claims change many times a second, and each change ends
	// the watch of every daemon.
	claimWatches = 2
	claimBurst   = 4
	// relayWait is how long an upstream waits for changes. It is shorter than watchWait because
	// the upstream's copy may be as old as its own last watch.
	relayWait = 750 * time.Millisecond
	// configBytes limits the bytes per second of configurations: a tenth of a link of 30 Mbit/s.
	// Of large versions in quick succession only the last one counts.
	configBytes = 384 << 10
	// instanceWatches and instanceBurst limit the watch calls for backends in the same way.
	instanceWatches = 4
	instanceBurst   = 4
	// settleInterval is the time between two checks of missing entries.
	settleInterval = 100 * time.Millisecond
	// rejoinPause is the time between two searches for other daemons while none is known.
	rejoinPause = 500 * time.Millisecond
	// settlingTime is how long the daemons of a fleet that starts at once need to find each
	// other.
	settlingTime = 3 * time.Second
)

// Frontend is one daemon.
type Frontend struct {
	settings  settings.Settings
	log       *slog.Logger
	transport *peer.Transport
	node      *cluster.Node
	store     table.Store
	// direct is the store without forwarding through other daemons.
	direct table.Store
	// forwarding is the layer below store that calls the store through other daemons while
	// it can't be reached directly.
	forwarding *table.Forwarding
	followers  []*table.Follower
	instances  *instanceConsumer
	// limitFleet is the set of daemons that share the rate limits of tenants.
	limitFleet *ratelimit.ClusterFleet

	// Holder has the current configuration.
	Holder *route.Holder
	// Backends is the set of known backends.
	Backends *backend.Set
	// Core answers online requests.
	Core *serving.Core
	// Jobs serves the batch job calls and runs jobs.
	Jobs *job.Service
	// Gate identifies callers.
	Gate *access.Gate
	// Quarantine decides which requests are not sent to backends.
	Quarantine *quarantine.Guard
	// ClaimsAge returns the time since this daemon's copy of the job claims was last
	// confirmed to be current.
	ClaimsAge func() time.Duration
	// ConfigurationAge returns the same for its copy of the configuration.
	ConfigurationAge func() time.Duration
	// isConfigurationUnreadable reports whether an older configuration is in force, because the newest one
	// can't be read.
	isConfigurationUnreadable func() bool
	// CopyBytes returns the bytes of this daemon's copies of the followed tables, by table.
	CopyBytes map[string]func() int

	recorder *quarantine.Recorder
	// section returns the section of the backends that this daemon follows, and its width on
	// the ring.
	section func() (section table.Section, width float64, isKnown bool)
	// upstream chooses the daemon to follow tables from, and serves others.
	upstream *upstream
}

// Metrics are the metrics of a daemon's parts.
type Metrics struct {
	Serving *telemetry.Serving
	Quota   *telemetry.Quota
	Tenants *telemetry.Tenants
	// Backends has the metrics of backend listings.
	Backends *telemetry.Backends
	// Quarantine has the metrics of requests that crash backends.
	Quarantine *telemetry.Quarantine
}

// configurationConfirmedAt returns the latest time at which the configuration in force was known to be the
// newest; zero if it is not.
func (f *Frontend) configurationConfirmedAt() time.Time {
	age := f.ConfigurationAge()
	if f.isConfigurationUnreadable() {
		return time.Time{}
	}
	return time.Now().Add(-age)
}

// isServiceNamed reports whether the current configuration names a service.
func (f *Frontend) isServiceNamed(service string) bool {
	current := f.Holder.Current()
	if current == nil {
		return false
	}
	_, isNamed := current.Service(service)
	return isNamed
}

// New assembles a daemon. The settings must be valid.
func New(process settings.Settings, ports Ports, metrics Metrics, log *slog.Logger) *Frontend {
	f := &Frontend{settings: process, log: log, Holder: &route.Holder{}, Backends: backend.NewSet()}
	f.transport = peer.NewTransport(process.Name, process.PeerAddress, process.ClusterKeyBytes(), log)
	self := f.member()
	f.node = cluster.NewNode(membership.DefaultConfig(time.Duration(process.ProbeInterval)), self, f.transport, log)
	f.direct = ports.Store
	f.forwarding = f.forwardingStore(ports)
	availability := table.NewAvailability(f.forwarding, ports.ConfigTable)
	store := table.NewMonotonic(availability)
	f.store = store
	shareVersions(f.node, store)
	f.Backends.SetColdLimits(f.coldRate, newColdShare(f.node, time.Now().Add(settlingTime)))
	accounts := quota.NewAccounts(f.store, quotaPeers{node: f.node, transport: f.transport}, metrics.Quota, log)
	peer.Handle(f.transport, methodQuota, func(ctx context.Context, _ string, request quota.Request) (quota.Answer, error) {
		return accounts.Serve(ctx, request)
	})
	subscribeNearLimit(f.node, accounts)
	f.addQuarantine(metrics.Quarantine)
	sender := serving.NewGuardedSender(ports.Sender, f.Quarantine, f.Backends, log)
	f.Core = serving.NewCore(f.Backends, sender, f.Holder, metrics.Serving, log, f.sharingDaemons)
	f.Core.Wakeups = boottime.NewWakeups(nil, log)
	f.Core.Zone = process.Zone
	f.Core.ResponseTimes = responsetimeout.NewEstimates(responsetimeout.Mode(process.ResponseTimeouts))
	f.Core.OrdersWaiting = process.WaitingOrder == settings.WaitingOrderFleet
	f.Core.Quarantine = f.Quarantine
	f.limitFleet = ratelimit.NewClusterFleet(f.node, f.transport, log)
	listed := &backendList{holder: f.Holder}
	f.Core.Origins = streamorigin.NewKeeper(f.Backends, listed, &originPeers{node: f.node, transport: f.transport, limits: f.limitFleet}, metrics.Serving, log)
	handleOrigins(f.transport, f.Core.Origins)
	f.Core.Limits = ratelimit.New(f.limitFleet, ratelimit.ToleranceOf(process), metrics.Tenants, log)
	f.limitFleet.Handle(f.Core.Limits)
	if connector, keepsConnections := ports.Sender.(serving.Connector); keepsConnections {
		f.Core.Connector = connector
		f.Backends.SetConnected(connector.Connected)
	}
	claims := newClaimFollower()
	claims.Deferred = f.claimsDelay(time.Now())
	f.ClaimsAge = claims.Age
	f.Jobs = job.NewService(job.Dependencies{
		Availability: bufferAvailability(process, availability), SubmissionLimits: submissionbuffer.LimitsOf(process.MemoryMegabytes, process.HeldSubmissionsShare),
		Self: job.Self{Name: self.Name, Incarnation: func() int64 { return f.node.Self().Incarnation }}, Store: f.store, Backends: f.Backends, Sender: sender,
		Holder: f.Holder, Peers: peers{node: f.node, transport: f.transport, log: log}, Metrics: metrics.Serving, Logger: log, Connections: f.Core.ConnectionShare, SettlingTime: settlingTime, ResultRetention: time.Duration(process.ResultRetention),
		Quota: accounts, Zone: process.Zone, BatchCapacity: process.BatchCapacity, Quarantine: f.Quarantine, ClaimsAge: claims.Age, ConfigurationConfirmedAt: f.configurationConfirmedAt,
	})
	claims.Consumer = f.Jobs
	handleJobNotices(f.transport, f.Jobs)
	source := newPeerSource(f.node, f.transport)
	followed := newUpstream(f.node, f.transport)
	f.upstream = followed
	f.instances = newInstanceConsumer(ports, f.Backends, metrics.Backends, log)
	f.instances.isNamed = f.isServiceNamed
	f.Holder.OnTargetsChanged = func() { go f.Core.Origins.CopyAll(context.Background()) }
	configuration := &configConsumer{ports: ports, holder: f.Holder, evacuations: newEvacuations(ports.DecodeEvacuation, f.Backends, metrics.Backends, log), log: log}
	f.isConfigurationUnreadable = configuration.isUnreadable.Load
	announced := newAnnouncer(ports.ConfigTable, configuration, f.node)
	f.CopyBytes = map[string]func() int{}
	for _, follower := range []*table.Follower{
		{Table: ports.ConfigTable, Consumer: announced, BytesPerSecond: configBytes},
		{Table: ports.InstanceTable, Consumer: f.instances, Pace: rate.NewLimiter(instanceWatches, instanceBurst), Plan: newSectionPlan(process.Name, ports, f.Holder, f.Backends, log)},
		{Table: quarantine.TableName, Consumer: f.Quarantine, Wait: evidenceWait},
		claims,
	} {
		replica := &table.Replica{Consumer: follower.Consumer}
		source.offer(follower.Table, followedCopy{follower: follower, replica: replica})
		followed.offer(follower.Table, followedCopy{follower: follower, replica: replica})
		f.CopyBytes[follower.Table] = replica.Bytes
		follower.Store, follower.Consumer, follower.Part, follower.Logger = f.store, replica, replica, log
		if follower.Wait == 0 {
			follower.Wait = watchWait
		}
		follower.RelayWait = relayWait
		follower.Peers, follower.Upstream = source, followed
		f.followers = append(f.followers, follower)
		if follower.Table == ports.InstanceTable {
			f.instances.grace, f.instances.departures.origin, f.section = follower.Grace, follower.Origin, follower.Section
			follower.Bounds = absenceBounds(process)
			f.Backends.SetListAge(follower.Age)
			listed.instances = follower
			follower.History, follower.Trait = table.NewHistory(), f.instances.originOf
			replica.History = follower.History
		}
		if follower.Table == ports.ConfigTable {
			listed.configuration = follower
			announced.announce = follower.Announce
			configuration.origin, f.ConfigurationAge = follower.Origin, follower.Age
			f.Gate = &access.Gate{RevocationBound: time.Duration(process.RevocationBound), ConfirmedAt: follower.ConfirmedAt}
		}
	}
	return f
}

// coldRate returns the configured requests per second for a cold backend of a service; 0
// means no limit.
func (f *Frontend) coldRate(service string) float64 {
	current := f.Holder.Current()
	if current == nil {
		return 0
	}
	configured, isNamed := current.Service(service)
	if !isNamed {
		return 0
	}
	return configured.ColdRate
}

// lostColdShare is how long a daemon that was lost keeps its allowance for cold backends: it may be
// partitioned and use it.
const lostColdShare = 10 * time.Minute

// newColdShare returns the function that computes this daemon's allowance for a cold backend.
// The allowance is 0 until settledAt: a daemon that has just started may not know all others
// and would use their shares too.
func newColdShare(node *cluster.Node, settledAt time.Time) backend.ColdShare {
	return func(incarnation backend.Incarnation, perSecond float64, window warmup.Window) int {
		if time.Now().Before(settledAt) {
			return 0
		}
		return warmup.Allowance(node.Self().Name, node.NamesWithLost(lostColdShare), incarnation.String(), perSecond, window)
	}
}

// bufferAvailability returns the store availability that controls the buffering of submissions,
// or nil if submissions are not buffered.
func bufferAvailability(process settings.Settings, availability *table.Availability) job.Availability {
	if process.HeldSubmissionsShare <= 0 {
		return nil
	}
	return availability
}

// forwardingStore returns the store with a fallback: while it can't be reached directly, calls
// go through other daemons.
func (f *Frontend) forwardingStore(ports Ports) *table.Forwarding {
	throughPeers := newPeerStore(f.node, f.transport, ports.Store)
	forwarding := table.NewForwarding(ports.Store, throughPeers, ports.ConfigTable, f.log)
	forwarding.HasPeers = func() bool { return f.node.Count() > 1 }
	throughPeers.isServed = forwarding.IsServed
	return forwarding
}

// shareVersions adds the newest store version that this daemon has seen to its datagrams, and
// applies those received. A daemon thus detects a stale read even if it has not seen a newer
// version itself.
func shareVersions(node *cluster.Node, store *table.Monotonic) {
	store.OnVersion = func(version table.Version) { node.SetRevision(int64(version)) }
	node.Subscribe(func(event membership.Event) {
		if event.Kind == membership.EventRevision {
			store.Raise(table.Version(event.Revision))
		}
	})
}

// member describes this daemon to others. Its incarnation is the start time in milliseconds,
// which is usually higher than that of any earlier process of the same name. If the clock has
// gone back since, the membership raises it.
func (f *Frontend) member() membership.Member {
	return membership.Member{
		Name: f.settings.Name, Address: f.settings.AdvertiseAddress, Zone: f.settings.Zone, Region: f.settings.Region,
		Incarnation: time.Now().UnixMilli(),
	}
}

// newClaimFollower returns a follower of the claims of jobs; the caller sets its consumer and
// sources.
func newClaimFollower() *table.Follower {
	return &table.Follower{
		Table: job.ClaimTable, Partitioned: true, Wait: watchWait, RelayWait: relayWait, Pace: rate.NewLimiter(claimWatches, claimBurst),
	}
}

// Members returns the number of live daemons known to this one.
func (f *Frontend) Members() int { return f.node.Count() }

// sectionWidth returns the fraction of the backend ring that this daemon follows, and whether
// it is less than the complete ring.
func (f *Frontend) sectionWidth() (width float64, isPart bool) {
	section, width, _ := f.section()
	return width, section.IsPart
}

// sharingDaemons returns the maximum number of daemons that send to the same backend.
func (f *Frontend) sharingDaemons() int {
	width, isPart := f.sectionWidth()
	if !isPart {
		return f.Members()
	}
	return topology.MaxDaemonsPerBackend(width, f.Members())
}

// maxClaimsDelay is how long a starting daemon of a large fleet waits for an upstream before it
// reads the claims of all jobs from the store, with one call per partition. It checks every
// claimsPoll, and every sizePoll until the size of the fleet is known. Small fleets have no
// upstreams.
const (
	maxClaimsDelay = 4 * time.Second
	claimsPoll     = 100 * time.Millisecond
	sizePoll       = 5 * time.Millisecond
)

// claimsDelay returns a function for the remaining delay until the next check whether the first
// read of the claims may start; 0 means now. A fleet is large if only a section of the backends
// is followed.
func (f *Frontend) claimsDelay(started time.Time) func() time.Duration {
	return func() time.Duration {
		section, _, isKnown := f.section()
		switch {
		case time.Since(started) >= maxClaimsDelay || f.upstream.Serves():
			return 0
		case !isKnown:
			return sizePoll
		case section.IsPart:
			return claimsPoll
		}
		return 0
	}
}

// Start starts all background work, which ends with the context.
func (f *Frontend) Start(ctx context.Context) error {
	if err := f.transport.Start(); err != nil {
		return err
	}
	f.node.SetSeeds(f.settings.Seeds)
	loads := exchange.New(f.node, f.Backends, f.log)
	loads.Section = f.sectionWidth
	go f.node.Run(ctx)
	go loads.Run(ctx)
	go f.Jobs.Run(ctx)
	go f.Core.Wakeups.Run(ctx)
	go f.findMembers(ctx)
	go f.register(ctx)
	go f.forwarding.Run(ctx)
	go f.instances.settleAll(ctx)
	go f.recorder.Run(ctx)
	go f.Core.Origins.Run(ctx)
	go f.expireEvidence(ctx)
	go f.Core.Limits.WatchFleet(ctx, f.hasTenants)
	go f.limitFleet.ProbeMissing(ctx)
	for _, follower := range f.followers {
		go follower.Run(ctx)
	}
	return nil
}

// Ready reports whether the daemon has a configuration and can serve requests.
func (f *Frontend) Ready() bool { return f.Holder.Current() != nil }

// Leave hands over jobs and notifies the other daemons that this one leaves.
func (f *Frontend) Leave(ctx context.Context) {
	f.Jobs.Stop(ctx)
	f.node.Leave()
}

// AwaitCancellations waits until the job cancellations requested at this daemon are complete, or
// the context ends.
func (f *Frontend) AwaitCancellations(ctx context.Context) { f.Jobs.AwaitCancellations(ctx) }

// Close stops the peer transport.
func (f *Frontend) Close() { f.transport.Stop() }

// Reload applies the settings that may change while the daemon runs.
func (f *Frontend) Reload(changed settings.Settings) { f.node.SetSeeds(changed.Seeds) }

// hasTenants reports whether the current configuration has tenants.
func (f *Frontend) hasTenants() bool {
	current := f.Holder.Current()
	return current != nil && current.Tenants().Count() > 0
}
