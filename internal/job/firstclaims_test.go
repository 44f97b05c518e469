package job_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/backend"
	"topazpulley/internal/boottime"
	"topazpulley/internal/failure"
	"topazpulley/internal/job"
	"topazpulley/internal/route"
	"topazpulley/internal/table/tabletest"
	"topazpulley/internal/telemetry"
)

// newServiceWithoutClaims returns a service that has not read the claims yet.
func newServiceWithoutClaims(readAt *boottime.Instant) *job.Service {
	return job.NewService(job.Dependencies{
		Self: job.Self{Name: "a", Incarnation: 1}, Store: tabletest.NewMemory(), Backends: backend.NewSet(), Sender: newFakeBackends(),
		Holder: &route.Holder{}, Metrics: telemetry.NewServing(prometheus.NewRegistry()), Logger: discardLogger, SubmissionLimits: testSubmissionLimits,
		ClaimsAge: func() time.Duration {
			if *readAt == 0 {
				return time.Hour
			}
			return 0
		},
	})
}

// TestCallWaitsForFirstClaims: a daemon that has just started must not report a job as not found
// before it has read the claims. Without claims it reports unavailable within a second.
func TestCallWaitsForFirstClaims(t *testing.T) {
	for name, each := range map[string]struct {
		claimsAfter time.Duration
		kind        failure.Kind
	}{
		"the claims are read soon": {claimsAfter: 20 * time.Millisecond, kind: failure.KindNotFound},
		"the store is unavailable": {claimsAfter: time.Minute, kind: failure.KindUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var readAt boottime.Instant
				called, started := newServiceWithoutClaims(&readAt), time.Now()
				timer := time.AfterFunc(each.claimsAfter, func() {
					readAt = 1
					called.Replace(nil, 1)
				})
				defer timer.Stop()
				_, err := called.Of("").Results(t.Context(), "unknown", 0, 0)
				require.True(t, failure.Is(err, each.kind), "%v", err)
				require.Less(t, time.Since(started), time.Second, "callers wait for an unavailable store")
			})
		})
	}
}
