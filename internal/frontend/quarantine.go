package frontend

import (
	"context"
	"strings"
	"time"

	"topazpulley/internal/membership"
	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/telemetry"
)

const (
	// keyEvidence stands before the name of the daemon that tells of back ends that
	// ended under requests.
	keyEvidence = "crash-evidence/"
	// evidencePerNotice bounds a datagram: at 40 to 60 bytes for each piece of
	// evidence it stays below 1,200.
	evidencePerNotice = 16
	// evidenceWait is how long one watch of the evidence is held. Datagrams tell
	// first, and changes end the wait at once; the watch is what daemons have that
	// are cut off from the others. A longer wait costs the store fewer calls: 0.2 a
	// second and daemon.
	evidenceWait = 5 * time.Second
	// expiryInterval is the time between two looks for evidence that is too old.
	expiryInterval = time.Minute
)

// evidenceSpreader tells all daemons directly, and the store.
type evidenceSpreader struct {
	frontend *Frontend
}

var _ quarantine.Spreader = evidenceSpreader{}

// Spread implements quarantine.Spreader.
func (s evidenceSpreader) Spread(notice quarantine.Notice) {
	s.frontend.recorder.Write(notice.Evidence)
	for start := 0; start < len(notice.Evidence); start += evidencePerNotice {
		part := notice.Evidence[start:min(start+evidencePerNotice, len(notice.Evidence))]
		s.frontend.tellAll(quarantine.Notice{Evidence: part})
	}
	if len(notice.Cleared) > 0 {
		s.frontend.tellAll(quarantine.Notice{Cleared: notice.Cleared})
	}
}

// Withdraw implements quarantine.Spreader.
func (s evidenceSpreader) Withdraw(keys []quarantine.RowKey) { s.frontend.recorder.Remove(keys) }

// addQuarantine makes the guard that keeps requests from back ends. All daemons
// are told directly whatever the size of the fleet: back ends end seldom, and the
// next call of the same request may be at any daemon.
func (f *Frontend) addQuarantine(metrics *telemetry.Quarantine) {
	policy := quarantine.Policy{Crashes: f.settings.QuarantineCrashes, Time: time.Duration(f.settings.QuarantineTime)}
	f.recorder = quarantine.NewRecorder(f.store, f.log)
	f.Quarantine = quarantine.NewGuard(policy, evidenceSpreader{frontend: f}, metrics, f.log)
	f.node.Subscribe(func(event membership.Event) {
		if event.Kind == membership.EventHint && strings.HasPrefix(event.Item.Key, keyEvidence) {
			f.receiveEvidence(event.Item)
		}
	})
}

func (f *Frontend) receiveEvidence(item membership.Item) {
	notice, err := quarantine.DecodeNotice(item.Payload)
	if err != nil {
		f.log.Warn("evidence_unreadable", "key", item.Key, "error", err)
		return
	}
	f.Quarantine.Receive(notice, quarantine.SourcePeer)
}

// tellAll sends a notice to every other daemon.
func (f *Frontend) tellAll(notice quarantine.Notice) {
	payload, err := quarantine.EncodeNotice(notice)
	if err != nil {
		f.log.Error("evidence_not_encoded", "error", err)
		return
	}
	self := f.node.Self().Name
	item := membership.Item{Key: keyEvidence + self, Version: time.Now().UnixNano(), Priority: membership.PriorityLoad, Payload: payload}
	for _, member := range f.node.Members() {
		if member.Name != self {
			f.node.Hint(member.Name, item)
		}
	}
}

// expireEvidence drops old evidence until the context ends. One daemon a request
// removes it from the store.
func (f *Frontend) expireEvidence(ctx context.Context) {
	periodic.Run(ctx, expiryInterval, func() {
		f.Quarantine.Expire(func(fingerprint quarantine.Fingerprint) bool {
			return peers{node: f.node}.Rank(fingerprint.String()) == 0
		})
	})
}
