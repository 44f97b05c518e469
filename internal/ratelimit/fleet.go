package ratelimit

import (
	"context"
	"sync"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
)

// methodAsk is the method of the peer protocol by which daemons ask keepers.
const methodAsk = "ratelimit.ask"

// settlingTime is how long the daemons of a fleet that starts at once need to
// find each other. Until then the daemons that registered in earlier lives count
// as members, so that all agree on the keepers.
const settlingTime = 3 * time.Second

// ClusterFleet is the fleet as the membership knows it. mutex guards the fields
// behind it.
type ClusterFleet struct {
	node      *cluster.Node
	transport *peer.Transport
	startedAt time.Time

	mutex        sync.Mutex
	registered   []Daemon
	isRegistered bool
	sightings    sightings
}

var _ Fleet = (*ClusterFleet)(nil)

// NewClusterFleet returns the fleet of a daemon that starts now.
func NewClusterFleet(node *cluster.Node, transport *peer.Transport) *ClusterFleet {
	return &ClusterFleet{node: node, transport: transport, startedAt: time.Now(), sightings: sightings{}}
}

// Handle has a limiter answer other daemons. It must be called before the
// transport starts.
func (f *ClusterFleet) Handle(limiter *Limiter) {
	peer.Handle(f.transport, methodAsk, func(_ context.Context, from string, request Request) (Answer, error) {
		limiter.Heard(from)
		return limiter.Serve(request), nil
	})
}

// SetRegistered tells which daemons have registered, in this life or an earlier
// one.
func (f *ClusterFleet) SetRegistered(daemons []Daemon) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.registered, f.isRegistered = daemons, true
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
	now := time.Now()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missing := f.sightings.missed(live, f.hasLeft, now)
	if now.Sub(f.startedAt) < settlingTime {
		return View{Daemons: f.withUnheard(live), IsKnown: f.isRegistered || len(live) > 1}
	}
	return View{Daemons: live, Missing: missing, IsKnown: true}
}

// withUnheard adds the registered daemons of which the membership has not heard.
// mutex must be held.
func (f *ClusterFleet) withUnheard(live []Daemon) []Daemon {
	for _, daemon := range f.registered {
		if _, isHeard := f.node.Member(daemon.Name); !isHeard {
			live = append(live, daemon)
		}
	}
	return live
}

func (f *ClusterFleet) hasLeft(name string) bool {
	member, isHeard := f.node.Member(name)
	return isHeard && member.State == membership.StateLeft
}

// Ask implements Fleet.
func (f *ClusterFleet) Ask(ctx context.Context, address string, request Request) (Answer, error) {
	return peer.Call[Request, Answer](ctx, f.transport, address, methodAsk, request)
}
