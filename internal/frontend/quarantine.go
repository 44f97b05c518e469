package frontend

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/telemetry"
)

const (
	// evidenceWait is how long one watch of the evidence waits for changes. Datagrams are
	// faster; the watch serves daemons that are cut off from others or were suspended. With
	// the time to notice that it is overdue and to ask other daemons it must stay below 3 s,
	// the limit within which every daemon has new evidence.
	evidenceWait = 2 * time.Second
	// expiryInterval is the time between two checks for expired evidence.
	expiryInterval = time.Minute
)

// addQuarantine creates the quarantine guard and its publisher.
func (f *Frontend) addQuarantine(metrics *telemetry.Quarantine) {
	policy := quarantine.Policy{Crashes: f.settings.QuarantineCrashes, Time: time.Duration(f.settings.QuarantineTime)}
	f.recorder = quarantine.NewRecorder(f.store, f.log)
	publisher := quarantine.NewClusterPublisher(f.node, f.recorder, f.log)
	f.Quarantine = quarantine.NewGuard(policy, publisher, metrics, f.log)
	publisher.Listen(f.Quarantine)
}

// expireEvidence removes expired evidence until the context ends. For each fingerprint, only the
// daemon with rank 0 removes it from the store.
func (f *Frontend) expireEvidence(ctx context.Context) {
	periodic.Run(ctx, expiryInterval, func() {
		f.Quarantine.Expire(func(fingerprint quarantine.Fingerprint) bool {
			return peers{node: f.node}.Rank(fingerprint.String()) == 0
		})
	})
}
