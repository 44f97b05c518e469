package ratelimit

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/periodic"
)

// methodAsk is the peer protocol method for requests to coordinators.
const methodAsk = "ratelimit.ask"

// settlingTime is the time that daemons started together need to discover each other. Until
// then registered daemons count as members, so that all agree on the coordinators.
const settlingTime = 3 * time.Second

const (
	// probeInterval is the time between two rounds of probes of missing daemons, probesPerRound
	// how many are probed at once.
	probeInterval  = 500 * time.Millisecond
	probesPerRound = 4
)

// ClusterFleet is the fleet according to the membership. mutex guards the fields after it.
type ClusterFleet struct {
	node      *cluster.Node
	transport *peer.Transport
	startedAt time.Time
	log       *slog.Logger

	mutex        sync.Mutex
	registered   []Daemon
	isRegistered bool
	recent       recentDaemons
}

var _ Fleet = (*ClusterFleet)(nil)

// NewClusterFleet returns the fleet of a daemon that starts now.
func NewClusterFleet(node *cluster.Node, transport *peer.Transport, log *slog.Logger) *ClusterFleet {
	return &ClusterFleet{node: node, transport: transport, log: log, startedAt: time.Now(), recent: recentDaemons{}}
}

// Handle registers a limiter to answer other daemons. It must be called before the transport
// starts.
func (f *ClusterFleet) Handle(limiter *Limiter) {
	peer.Handle(f.transport, methodAsk, func(_ context.Context, from string, request Request) (Answer, error) {
		limiter.RecordAsk(from)
		return limiter.Serve(request), nil
	})
}

// SetRegistered sets the daemons that have registered, also before this daemon's start.
func (f *ClusterFleet) SetRegistered(daemons []Daemon) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.registered, f.isRegistered = daemons, true
}

// HasUnmet reports whether a daemon that had registered when this one started has never been seen,
// for as long as it may be behind a partition.
func (f *ClusterFleet) HasUnmet() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return time.Since(f.startedAt) < maxMissing && len(f.unmet()) > 0
}

// unmet returns the registered daemons that the membership doesn't contain. mutex must be held.
func (f *ClusterFleet) unmet() []Daemon {
	unmet := []Daemon{}
	for _, daemon := range f.registered {
		if _, isMember := f.node.Member(daemon.Name); !isMember {
			unmet = append(unmet, daemon)
		}
	}
	return unmet
}

// Self implements Fleet.
func (f *ClusterFleet) Self() string { return f.node.Self().Name }

// View implements Fleet.
func (f *ClusterFleet) View() View {
	live := []Daemon{}
	for _, member := range f.node.Members() {
		if member.State == membership.StateAlive {
			live = append(live, Daemon{Name: member.Name, Address: member.Address})
		}
	}
	lost := []Daemon{}
	for _, member := range f.node.Lost(maxMissing) {
		lost = append(lost, Daemon{Name: member.Name, Address: member.Address})
	}
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recent.addLost(lost, now)
	missing := f.recent.missing(live, f.hasLeft, now)
	if now.Sub(f.startedAt) < settlingTime {
		return View{Daemons: append(live, f.unmet()...), IsKnown: f.isRegistered || len(live) > 1}
	}
	return View{Daemons: live, Missing: missing, IsKnown: true}
}

// ProbeMissing probes the addresses of missing daemons until the context ends, to distinguish
// those that have ended from those behind a partition.
func (f *ClusterFleet) ProbeMissing(ctx context.Context) {
	periodic.Run(ctx, probeInterval, func() {
		f.View() // records which daemons are missing, whoever asks
		f.probeRound(ctx)
	})
}

// probeRound probes some of the missing daemons and waits for the results.
func (f *ClusterFleet) probeRound(ctx context.Context) {
	f.mutex.Lock()
	probes := f.recent.nextProbes(probesPerRound, time.Now())
	f.mutex.Unlock()
	var group sync.WaitGroup
	for _, daemon := range probes {
		group.Go(func() { f.probe(ctx, daemon) })
	}
	group.Wait()
}

func (f *ClusterFleet) probe(ctx context.Context, daemon Daemon) {
	if !f.transport.Refuses(ctx, daemon.Address) {
		return
	}
	f.log.Info("limit_daemon_ended", "daemon", daemon.Name, "address", daemon.Address)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.recent.recordEnded(daemon)
}

func (f *ClusterFleet) hasLeft(name string) bool {
	member, isMember := f.node.Member(name)
	return isMember && member.State == membership.StateLeft
}

// Ask implements Fleet.
func (f *ClusterFleet) Ask(ctx context.Context, address string, request Request) (Answer, error) {
	return peer.Call[Request, Answer](ctx, f.transport, address, methodAsk, request)
}
