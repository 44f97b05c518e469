// Package frontend assembles a daemon whose configuration, discovery and jobs
// live in a watched table: the online core, the job service, the membership of
// the fleet and the followers of the tables. What speaks to callers, backends
// and the store comes from outside, through Ports.
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
	"topazpulley/internal/submissionbuffer"
	"topazpulley/internal/table"
	"topazpulley/internal/telemetry"
	"topazpulley/internal/topology"
	"topazpulley/internal/warmup"
)

// Ports are the translators to the outside and the names under which the store
// holds what others write.
type Ports struct {
	Store          table.Store
	Sender         serving.Sender
	DecodeConfig   func(value []byte) (route.Config, error)
	DecodeInstance func(key string, value []byte) (backend.Instance, error)
	// DecodeEvacuation returns the zone that a row of ConfigTable wants to be evacuated,
	// empty if it names none, and false if the row is no such order. Nil means that there
	// are no such orders.
	DecodeEvacuation func(key string) (zone string, isOrder bool)
	ConfigTable      string
	ConfigKey        string
	InstanceTable    string
}

const (
	// watchWait is how long one watch call is held. A watch whose answer is
	// lost is noticed shortly after.
	watchWait = 1500 * time.Millisecond
	// claimWatches is how often a second claims of jobs are asked for, and
	// claimBurst how often at once: in a large fleet jobs come and go many times
	// a second, and every change would cost a call of every daemon.
	claimWatches = 2
	claimBurst   = 4
	// claimRelayWait is how long an upstream holds a call for claims. Items are started
	// only while the claims are known to be fresh; with calls held for watchWait, owners
	// of a fleet that is not harmed found them too old ten times a minute.
	claimRelayWait = 750 * time.Millisecond
	// instanceWatches and instanceBurst bound the same for backends, which are
	// listed one after the other when many start.
	instanceWatches = 4
	instanceBurst   = 4
	// settleInterval is the pause between two looks at entries that are missing.
	settleInterval = 100 * time.Millisecond
	// rejoinPause is the time between two looks for other daemons while none is
	// known.
	rejoinPause = 500 * time.Millisecond
	// settlingTime is how long the daemons of a fleet that starts at once need
	// to find each other.
	settlingTime = 3 * time.Second
)

// Frontend is one daemon.
type Frontend struct {
	settings  settings.Settings
	log       *slog.Logger
	transport *peer.Transport
	node      *cluster.Node
	store     table.Store
	// direct is the store as this daemon itself reaches it.
	direct table.Store
	// forwarding is what store calls; it runs while the daemon does.
	forwarding *table.Forwarding
	followers  []*table.Follower
	instances  *instanceConsumer
	// limitFleet is the fleet among which limits of tenants are kept.
	limitFleet *ratelimit.ClusterFleet

	// Holder has the configuration in force.
	Holder *route.Holder
	// Backends is what is known of the backends.
	Backends *backend.Set
	// Core answers online requests.
	Core *serving.Core
	// Jobs answers calls about jobs and runs them.
	Jobs *job.Service
	// Gate identifies callers.
	Gate *access.Gate
	// Quarantine tells which requests are not sent to backends.
	Quarantine *quarantine.Guard
	// ClaimsAge returns for how long the claims of jobs, as this daemon knows them, may
	// not have been the present state.
	ClaimsAge func() time.Duration

	recorder *quarantine.Recorder
	// section is the part of the backends that is known, and its width on the ring.
	section func() (section table.Section, width float64, isKnown bool)
	// followed tells whether this daemon is an upstream.
	followed *upstream
}

// Metrics are those of the parts of a daemon.
type Metrics struct {
	Serving *telemetry.Serving
	Quota   *telemetry.Quota
	Tenants *telemetry.Tenants
	// Backends is that of what backends say of themselves.
	Backends *telemetry.Backends
	// Quarantine is that of requests that end backends.
	Quarantine *telemetry.Quarantine
}

// isServiceNamed reports whether the configuration in force names a service.
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
	f.Backends.SetColdLimits(f.coldRate, coldPacer(f.node, time.Now().Add(settlingTime)))
	accounts := quota.NewAccounts(f.store, quotaPeers{node: f.node, transport: f.transport}, metrics.Quota, log)
	peer.Handle(f.transport, methodQuota, func(ctx context.Context, _ string, request quota.Request) (quota.Answer, error) {
		return accounts.Serve(ctx, request)
	})
	listenForPressure(f.node, accounts)
	f.addQuarantine(metrics.Quarantine)
	sender := serving.NewGuardedSender(ports.Sender, f.Quarantine, f.Backends, log)
	f.Core = serving.NewCore(f.Backends, sender, f.Holder, metrics.Serving, log, f.sharingDaemons)
	f.Core.Wakeups = boottime.NewWakeups(nil, log)
	f.Core.Zone = process.Zone
	f.Core.ResponseTimes = responsetimeout.NewEstimates(responsetimeout.Mode(process.ResponseTimeouts))
	f.Core.OrdersWaiting = process.WaitingOrder == settings.WaitingOrderFleet
	f.Core.Quarantine = f.Quarantine
	f.limitFleet = ratelimit.NewClusterFleet(f.node, f.transport)
	f.Core.Limits = ratelimit.New(f.limitFleet, ratelimit.ToleranceOf(process), metrics.Tenants, log)
	f.limitFleet.Handle(f.Core.Limits)
	if connector, keepsConnections := ports.Sender.(serving.Connector); keepsConnections {
		f.Backends.SetConnected(connector.Connected)
	}
	claims := newClaimFollower()
	claims.Deferred = f.defersClaims(time.Now())
	f.ClaimsAge = claims.Age
	f.Jobs = job.NewService(job.Dependencies{
		Availability: holdingBy(process, availability), SubmissionLimits: submissionbuffer.LimitsOf(process.MemoryMegabytes, process.HeldSubmissionsShare),
		Self: job.Self{Name: self.Name, Incarnation: self.Incarnation}, Store: f.store, Backends: f.Backends, Sender: sender,
		Holder: f.Holder, Peers: peers{node: f.node, transport: f.transport, log: log}, Metrics: metrics.Serving, Logger: log, Connections: f.Core.ConnectionShare, SettlingTime: settlingTime,
		Quota: accounts, Zone: process.Zone, BatchCapacity: process.BatchCapacity, Quarantine: f.Quarantine, ClaimsAge: claims.Age,
	})
	claims.Consumer = f.Jobs
	listenForEnds(f.transport, f.Jobs)
	source := newPeerSource(f.node, f.transport)
	followed := newUpstream(f.node, f.transport)
	f.followed = followed
	f.instances = newInstanceConsumer(ports, f.Backends, metrics.Backends, log)
	f.instances.isNamed = f.isServiceNamed
	for _, follower := range []*table.Follower{
		{Table: ports.ConfigTable, Consumer: &configConsumer{ports: ports, holder: f.Holder, evacuations: newEvacuations(ports.DecodeEvacuation, f.Backends, metrics.Backends, log), log: log}},
		{Table: ports.InstanceTable, Consumer: f.instances, Pace: rate.NewLimiter(instanceWatches, instanceBurst), Plan: newSectionPlan(process.Name, ports, f.Holder, f.Backends, log)},
		{Table: quarantine.TableName, Consumer: f.Quarantine, Wait: evidenceWait},
		claims,
	} {
		replica := &table.Replica{Consumer: follower.Consumer}
		source.offer(follower.Table, followedCopy{follower: follower, replica: replica})
		followed.offer(follower.Table, followedCopy{follower: follower, replica: replica})
		follower.Store, follower.Consumer, follower.Part, follower.Logger = f.store, replica, replica, log
		if follower.Wait == 0 {
			follower.Wait = watchWait
		}
		follower.Peers, follower.Upstream = source, followed
		f.followers = append(f.followers, follower)
		if follower.Table == ports.InstanceTable {
			f.instances.isSettled, f.section = follower.IsSettled, follower.Section
		}
		if follower.Table == ports.ConfigTable {
			f.Gate = &access.Gate{RevocationBound: time.Duration(process.RevocationBound), ConfirmedAt: follower.ConfirmedAt}
		}
	}
	return f
}

// coldRate is how many requests a second a cold backend of a service bears, 0 for any.
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

// coldPacer returns this daemon's part of what cold backends bear. A daemon that has just
// started may know a few of the others only, and would take their parts too; it sends
// cold backends nothing until it is settled.
func coldPacer(node *cluster.Node, settledAt time.Time) backend.ColdShare {
	return func(life backend.Incarnation, perSecond float64, turn warmup.Window) int {
		if time.Now().Before(settledAt) {
			return 0
		}
		return warmup.Allowance(node.Self().Name, node.AllNames(), life.String(), perSecond, turn)
	}
}

// holdingBy returns by what submissions are held while the store is away; nil if none are.
func holdingBy(process settings.Settings, availability *table.Availability) job.Availability {
	if process.HeldSubmissionsShare <= 0 {
		return nil
	}
	return availability
}

// forwardingStore returns the store, called through other daemons while it does
// not serve this one.
func (f *Frontend) forwardingStore(ports Ports) *table.Forwarding {
	throughPeers := newPeerStore(f.node, f.transport, ports.Store)
	forwarding := table.NewForwarding(ports.Store, throughPeers, ports.ConfigTable, f.log)
	forwarding.HasPeers = func() bool { return f.node.Count() > 1 }
	throughPeers.isServed = forwarding.IsServed
	return forwarding
}

// shareVersions lets daemons tell each other the newest version of the store
// that any of them saw, with every datagram, so that a read which lies behind
// is noticed also by those that have seen nothing newer themselves.
func shareVersions(node *cluster.Node, store *table.Monotonic) {
	store.OnVersion = func(version table.Version) { node.SetRevision(int64(version)) }
	node.Subscribe(func(event membership.Event) {
		if event.Kind == membership.EventRevision {
			store.Raise(table.Version(event.Revision))
		}
	})
}

// member describes this daemon to others. The start time makes its incarnation
// higher than in any earlier life of the same name.
func (f *Frontend) member() membership.Member {
	return membership.Member{
		Name: f.settings.Name, Address: f.settings.AdvertiseAddress, Zone: f.settings.Zone, Region: f.settings.Region,
		Incarnation: time.Now().UnixMilli(),
	}
}

// newClaimFollower returns a follower of the claims of jobs; its consumer and sources
// are set by its user.
func newClaimFollower() *table.Follower {
	return &table.Follower{
		Table: job.ClaimTable, Partitioned: true, Wait: watchWait, RelayWait: claimRelayWait, Pace: rate.NewLimiter(claimWatches, claimBurst),
	}
}

// Members returns how many daemons are alive as this one sees them.
func (f *Frontend) Members() int { return f.node.Count() }

// sectionWidth returns the part of the ring of backends that this daemon knows, and
// whether it is not the whole.
func (f *Frontend) sectionWidth() (width float64, isPart bool) {
	section, width, _ := f.section()
	return width, section.IsPart
}

// sharingDaemons returns how many daemons send to the same backends as this one, at most.
func (f *Frontend) sharingDaemons() int {
	width, isPart := f.sectionWidth()
	if !isPart {
		return f.Members()
	}
	return topology.MaxDaemonsPerBackend(width, f.Members())
}

// claimsDeferral is how long a daemon of a large fleet that starts waits for an upstream
// before it reads the claims of all jobs itself, a call a partition. It looks for one each
// claimsPoll, and until it knows how large the fleet is each sizePoll: a small fleet has none.
const (
	claimsDeferral = 4 * time.Second
	claimsPoll     = 100 * time.Millisecond
	sizePoll       = 5 * time.Millisecond
)

// defersClaims returns for how long the first read of the claims waits for an upstream. How
// large the fleet is shows in the table of backends.
func (f *Frontend) defersClaims(started time.Time) func() time.Duration {
	return func() time.Duration {
		section, _, isKnown := f.section()
		switch {
		case time.Since(started) >= claimsDeferral || f.followed.Serves():
			return 0
		case !isKnown:
			return sizePoll
		case section.IsPart:
			return claimsPoll
		}
		return 0
	}
}

// Start starts all duties; they end with the context.
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
	go f.keepFound(ctx)
	go f.register(ctx)
	go f.forwarding.Run(ctx)
	go f.instances.settleAll(ctx)
	go f.recorder.Run(ctx)
	go f.expireEvidence(ctx)
	go f.Core.Limits.WatchFleet(ctx, f.hasTenants)
	for _, follower := range f.followers {
		go follower.Run(ctx)
	}
	return nil
}

// Ready reports whether the daemon knows a configuration and so may get
// requests.
func (f *Frontend) Ready() bool { return f.Holder.Current() != nil }

// Leave hands jobs over and tells the other daemons that this one goes.
func (f *Frontend) Leave(ctx context.Context) {
	f.Jobs.Stop(ctx)
	f.node.Leave()
}

// AwaitCancellations waits until the ends of jobs that callers asked for here have ended, or
// the context ends.
func (f *Frontend) AwaitCancellations(ctx context.Context) { f.Jobs.AwaitCancellations(ctx) }

// Close ends the peer protocol.
func (f *Frontend) Close() { f.transport.Stop() }

// Reload takes over what may change while the daemon runs.
func (f *Frontend) Reload(changed settings.Settings) { f.node.SetSeeds(changed.Seeds) }

// hasTenants reports whether the configuration in force has tenants, who may have limits.
func (f *Frontend) hasTenants() bool {
	current := f.Holder.Current()
	return current != nil && current.Tenants().Count() > 0
}
