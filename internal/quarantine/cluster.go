package quarantine

import (
	"log/slog"
	"strings"
	"time"

	"topazpulley/internal/cluster"
	"topazpulley/internal/membership"
)

const (
	// keyEvidence stands before the name of the daemon that tells of backends that
	// ended under requests.
	keyEvidence = "crash-evidence/"
	// evidencePerNotice bounds a datagram: at 40 to 60 bytes for each piece of
	// evidence it stays below 1,200.
	evidencePerNotice = 16
)

// ClusterSpreader tells all daemons of a fleet directly, whatever its size: backends
// end seldom, and the next call of the same request may come to any daemon.
type ClusterSpreader struct {
	node     *cluster.Node
	recorder *Recorder
	log      *slog.Logger
}

var _ Spreader = (*ClusterSpreader)(nil)

// NewClusterSpreader returns a spreader over the node, which must not run yet. The
// recorder writes to the store; nil means that nothing is written.
func NewClusterSpreader(node *cluster.Node, recorder *Recorder, log *slog.Logger) *ClusterSpreader {
	return &ClusterSpreader{node: node, recorder: recorder, log: log}
}

// Listen has the guard hear what other daemons tell.
func (s *ClusterSpreader) Listen(guard *Guard) {
	s.node.Subscribe(func(event membership.Event) {
		if event.Kind != membership.EventHint || !strings.HasPrefix(event.Item.Key, keyEvidence) {
			return
		}
		notice, err := DecodeNotice(event.Item.Payload)
		if err != nil {
			s.log.Warn("evidence_unreadable", "key", event.Item.Key, "error", err)
			return
		}
		guard.Receive(notice, SourcePeer)
	})
}

// Spread implements Spreader.
func (s *ClusterSpreader) Spread(notice Notice) {
	if s.recorder != nil {
		s.recorder.Write(notice.Evidence)
	}
	s.Tell(notice)
}

// Tell implements Spreader.
func (s *ClusterSpreader) Tell(notice Notice) {
	for start := 0; start < len(notice.Evidence); start += evidencePerNotice {
		s.tellAll(Notice{Evidence: notice.Evidence[start:min(start+evidencePerNotice, len(notice.Evidence))]})
	}
	if len(notice.Cleared) > 0 {
		s.tellAll(Notice{Cleared: notice.Cleared})
	}
}

// Withdraw implements Spreader.
func (s *ClusterSpreader) Withdraw(keys []RowKey) {
	if s.recorder != nil {
		s.recorder.Remove(keys)
	}
}

// tellAll sends a notice to every other daemon.
func (s *ClusterSpreader) tellAll(notice Notice) {
	payload, err := EncodeNotice(notice)
	if err != nil {
		s.log.Error("evidence_not_encoded", "error", err)
		return
	}
	self := s.node.Self().Name
	item := membership.Item{Key: keyEvidence + self, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, member := range s.node.Members() {
		if member.Name != self {
			s.node.Hint(member.Name, item)
		}
	}
}
