package frontend

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/telemetry"
)

const (
	// evidenceWait is how long one watch of the evidence is held. Datagrams tell
	// first, and changes end the wait at once; the watch is what daemons have that
	// are cut off from the others. A longer wait costs the store fewer calls: 0.2 a
	// second and daemon.
	evidenceWait = 5 * time.Second
	// expiryInterval is the time between two looks for evidence that is too old.
	expiryInterval = time.Minute
)

// addQuarantine makes the guard that keeps requests from back ends.
func (f *Frontend) addQuarantine(metrics *telemetry.Quarantine) {
	policy := quarantine.Policy{Crashes: f.settings.QuarantineCrashes, Time: time.Duration(f.settings.QuarantineTime)}
	f.recorder = quarantine.NewRecorder(f.store, f.log)
	spreader := quarantine.NewClusterSpreader(f.node, f.recorder, f.log)
	f.Quarantine = quarantine.NewGuard(policy, spreader, metrics, f.log)
	spreader.Listen(f.Quarantine)
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
