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

// missingTime is how long a daemon that is not seen any more counts as one that
// may be cut off: longer than cuts last for the most part, and twice what a
// daemon needs to start again.
const missingTime = 10 * time.Second

// ClusterFleet is the fleet as the membership knows it. mutex guards the fields
// behind it.
type ClusterFleet struct {
	node      *cluster.Node
	transport *peer.Transport
	startedAt time.Time

	mutex        sync.Mutex
	registered   []Daemon
	isRegistered bool
	// seenAt is when each daemon was last seen alive.
	seenAt map[string]time.Time
}

var _ Fleet = (*ClusterFleet)(nil)

// NewClusterFleet returns the fleet of a daemon that starts now.
func NewClusterFleet(node *cluster.Node, transport *peer.Transport) *ClusterFleet {
	return &ClusterFleet{node: node, transport: transport, startedAt: time.Now(), seenAt: map[string]time.Time{}}
}

// Handle has a limiter answer other daemons. It must be called before the
// transport starts.
func (f *ClusterFleet) Handle(limiter *Limiter) {
	peer.Handle(f.transport, methodAsk, func(_ context.Context, _ string, request Request) (Answer, error) {
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
	if now.Sub(f.startedAt) < settlingTime {
		return View{Daemons: f.withUnheard(live), Reach: 1, IsKnown: f.isRegistered || len(live) > 1}
	}
	return View{Daemons: live, Reach: f.reach(live, now), IsKnown: true}
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

// reach returns which part of the daemons seen of late is live. Daemons that
// left are not missed. mutex must be held.
func (f *ClusterFleet) reach(live []Daemon, now time.Time) float64 {
	for _, daemon := range live {
		f.seenAt[daemon.Name] = now
	}
	missing := 0
	for name, at := range f.seenAt {
		member, isHeard := f.node.Member(name)
		hasLeft := isHeard && member.State == membership.StateLeft
		switch {
		case hasLeft || now.Sub(at) >= missingTime:
			delete(f.seenAt, name)
		case at.Before(now):
			missing++
		}
	}
	return float64(len(live)) / float64(max(len(live)+missing, 1))
}

// Ask implements Fleet.
func (f *ClusterFleet) Ask(ctx context.Context, address string, request Request) (Answer, error) {
	return peer.Call[Request, Answer](ctx, f.transport, address, methodAsk, request)
}
