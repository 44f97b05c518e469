package quarantine

import (
	"log/slog"
	"math/rand/v2"
	"strings"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
)

const (
	// keyEvidence is the hint key's prefix; the name of the sending daemon follows.
	keyEvidence = "crash-evidence/"
	// evidencePerNotice limits a datagram to less than 1,200 bytes: each piece of
	// evidence takes 40 to 60 bytes.
	evidencePerNotice = 16
)

// ClusterPublisher sends notices directly to every daemon of the fleet, whatever its size:
// the same request may next arrive at any of them.
type ClusterPublisher struct {
	node     *cluster.Node
	recorder *Recorder
	log      *slog.Logger
}

var _ Publisher = (*ClusterPublisher)(nil)

// NewClusterPublisher returns a publisher over the node, which must not run yet. The
// recorder writes evidence to the store; nil means that nothing is written.
func NewClusterPublisher(node *cluster.Node, recorder *Recorder, log *slog.Logger) *ClusterPublisher {
	return &ClusterPublisher{node: node, recorder: recorder, log: log}
}

// Listen passes the notices of other daemons to the guard.
func (p *ClusterPublisher) Listen(guard *Guard) {
	p.node.Subscribe(func(event membership.Event) {
		if event.Kind != membership.EventHint || !strings.HasPrefix(event.Item.Key, keyEvidence) {
			return
		}
		notice, err := DecodeNotice(event.Item.Payload)
		if err != nil {
			p.log.Warn("evidence_unreadable", "key", event.Item.Key, "error", err)
			return
		}
		guard.Receive(notice, SourcePeer)
	})
}

// Publish implements Publisher.
func (p *ClusterPublisher) Publish(notice Notice) {
	if p.recorder != nil {
		p.recorder.Write(notice.Evidence)
	}
	p.Notify(notice)
}

// Notify implements Publisher.
func (p *ClusterPublisher) Notify(notice Notice) {
	for start := 0; start < len(notice.Evidence); start += evidencePerNotice {
		p.notifyAll(Notice{Evidence: notice.Evidence[start:min(start+evidencePerNotice, len(notice.Evidence))]})
	}
	if len(notice.Cleared) > 0 {
		p.notifyAll(Notice{Cleared: notice.Cleared})
	}
}

// Withdraw implements Publisher.
func (p *ClusterPublisher) Withdraw(keys []RowKey) {
	if p.recorder != nil {
		p.recorder.Remove(keys)
	}
}

// staggerTime is the mean time between the withdrawals of two daemons that wait to send the same
// one. It is longer than a notice takes, so that few are sent, however many daemons there are.
const (
	staggerTime = 3 * time.Millisecond
	// maxStagger bounds the wait in large fleets.
	maxStagger = 500 * time.Millisecond
)

// Stagger implements Publisher.
func (p *ClusterPublisher) Stagger() time.Duration {
	longest := min(time.Duration(len(p.node.Members())+1)*staggerTime, maxStagger)
	return rand.N(longest)
}

// notifyAll sends a notice to every other daemon.
func (p *ClusterPublisher) notifyAll(notice Notice) {
	payload, err := EncodeNotice(notice)
	if err != nil {
		p.log.Error("evidence_not_encoded", "error", err)
		return
	}
	self := p.node.Self().Name
	item := membership.Item{Key: keyEvidence + self, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, member := range p.node.Members() {
		if member.Name != self {
			p.node.Hint(member.Name, item)
		}
	}
}
