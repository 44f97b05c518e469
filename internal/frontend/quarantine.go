package frontend

import (
	"context"
	"time"

	"topazpulley/internal/periodic"
	"topazpulley/internal/quarantine"
	"topazpulley/internal/telemetry"
)

const (
	// evidenceWait is how long one watch of the evidence is held. Changes end the wait
	// at once, and datagrams tell first; the watch is what daemons have that are cut
	// off from the others, or were suspended. One whose connection has fallen silent
	// is noticed 0.7 s later, so within the 3 s in which every daemon is to know. It
	// costs the store 0.5 calls a second and daemon.
	evidenceWait = 2 * time.Second
	// expiryInterval is the time between two looks for evidence that is too old.
	expiryInterval = time.Minute
)

// addQuarantine makes the guard that keeps requests from backends.
func (f *Frontend) addQuarantine(metrics *telemetry.Quarantine) {
	policy := quarantine.Policy{Crashes: f.settings.QuarantineCrashes, Time: time.Duration(f.settings.QuarantineTime)}
	f.recorder = quarantine.NewRecorder(f.store, f.log)
	spreader := quarantine.NewClusterPublisher(f.node, f.recorder, f.log)
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
