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
	// methodQuota is the peer method that asks an account's coordinator to commit.
	methodQuota = "quota.apply"
	// keyNearLimit is the key prefix of a hint that an account is near its limit.
	keyNearLimit = "quota-pressed/"
)

// quotaPeers finds and calls the coordinators of accounts.
type quotaPeers struct {
	node      *cluster.Node
	transport *peer.Transport
}

var _ quota.Peers = quotaPeers{}

// Coordinator implements quota.Peers. The coordinator is chosen by rendezvous hashing among the
// live daemons that are not suspected.
func (p quotaPeers) Coordinator(account string) (string, bool) {
	addresses := map[string]string{}
	names := []string{}
	for _, member := range p.node.Members() {
		if member.State == membership.StateAlive {
			names = append(names, member.Name)
			addresses[member.Name] = member.Address
		}
	}
	coordinator := duty.Owner(account, names)
	return addresses[coordinator], coordinator == "" || coordinator == p.node.Self().Name
}

// Apply implements quota.Peers.
func (p quotaPeers) Apply(ctx context.Context, address string, request quota.Request) (quota.Answer, error) {
	return peer.Call[quota.Request, quota.Answer](ctx, p.transport, address, methodQuota, request)
}

// Announce implements quota.Peers.
func (p quotaPeers) Announce(account string) {
	self := p.node.Self().Name
	item := membership.Item{Key: keyNearLimit + account, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: []byte{}}
	for _, member := range p.node.Members() {
		if member.Name != self {
			p.node.Hint(member.Name, item)
		}
	}
}

// subscribeNearLimit passes near-limit hints from other daemons to the accounts.
func subscribeNearLimit(node *cluster.Node, accounts *quota.Accounts) {
	node.Subscribe(func(event membership.Event) {
		if event.Kind != membership.EventHint {
			return
		}
		if account, isNearLimit := strings.CutPrefix(event.Item.Key, keyNearLimit); isNearLimit {
			accounts.MarkNearLimit(account, time.Now())
		}
	})
}
