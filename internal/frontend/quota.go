package frontend

import (
	"context"
	"strings"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/duty"
	"topazpulley/internal/membership"
	"topazpulley/internal/peer"
	"topazpulley/internal/quota"
)

const (
	// methodQuota is the method of the peer protocol by which a daemon asks an
	// account's keeper to commit.
	methodQuota = "quota.apply"
	// keyPressed begins the key of a hint that an account is near its limit.
	keyPressed = "quota-pressed/"
)

// quotaPeers reaches the keepers of accounts.
type quotaPeers struct {
	node      *cluster.Node
	transport *peer.Transport
}

var _ quota.Peers = quotaPeers{}

// Coordinator implements quota.Peers: the keeper is chosen by rendezvous hashing
// among the daemons that are not suspected.
func (p quotaPeers) Coordinator(account string) (string, bool) {
	addresses := map[string]string{}
	names := []string{}
	for _, member := range p.node.Members() {
		if member.State == membership.StateAlive {
			names = append(names, member.Name)
			addresses[member.Name] = member.Address
		}
	}
	keeper := duty.Owner(account, names)
	return addresses[keeper], keeper == "" || keeper == p.node.Self().Name
}

// Apply implements quota.Peers.
func (p quotaPeers) Apply(ctx context.Context, address string, request quota.Request) (quota.Answer, error) {
	return peer.Call[quota.Request, quota.Answer](ctx, p.transport, address, methodQuota, request)
}

// Announce implements quota.Peers.
func (p quotaPeers) Announce(account string) {
	self := p.node.Self().Name
	item := membership.Item{Key: keyPressed + account, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: []byte{}}
	for _, member := range p.node.Members() {
		if member.Name != self {
			p.node.Hint(member.Name, item)
		}
	}
}

// listenForPressure hands other daemons' announcements on.
func listenForPressure(node *cluster.Node, accounts *quota.Accounts) {
	node.Subscribe(func(event membership.Event) {
		if event.Kind != membership.EventHint {
			return
		}
		if account, isPressed := strings.CutPrefix(event.Item.Key, keyPressed); isPressed {
			accounts.MarkNearLimit(account, time.Now())
		}
	})
}
