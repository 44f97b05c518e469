package job_test

import (
	"context"
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
	"topazpulley/internal/table"
	"topazpulley/internal/table/tabletest"
	"topazpulley/internal/telemetry"
)

// newServiceWithoutClaims returns a service that has not read the claims yet.
func newServiceWithoutClaims(readAt *boottime.Instant) *job.Service {
	return newServiceWithClaimsAge(tabletest.NewMemory(), func() time.Duration {
		if *readAt == 0 {
			return time.Hour
		}
		return 0
	})
}

// newServiceWithClaimsAge returns a service whose copy of the claims has the given age.
func newServiceWithClaimsAge(store table.Store, claimsAge func() time.Duration) *job.Service {
	return job.NewService(job.Dependencies{
		Self: job.Self{Name: "a", Incarnation: func() int64 { return 1 }}, Store: store, Backends: backend.NewSet(), Sender: newFakeBackends(),
		Holder: &route.Holder{}, Metrics: telemetry.NewServing(prometheus.NewRegistry()), Logger: discardLogger, SubmissionLimits: testSubmissionLimits,
		ClaimsAge: claimsAge,
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

// TestCallWaitsForConfirmationOfFirstClaims: claims that were read but not confirmed yet must not
// make a daemon that has just started report a job that does not exist as unavailable.
func TestCallWaitsForConfirmationOfFirstClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var confirmedAt boottime.Instant
		called := newServiceWithoutClaims(&confirmedAt)
		called.Replace(nil, 7)
		timer := time.AfterFunc(20*time.Millisecond, func() { confirmedAt = 1 })
		defer timer.Stop()
		_, err := called.Of("").Results(t.Context(), "unknown", 0, 0)
		require.True(t, failure.Is(err, failure.KindNotFound), "%v", err)
	})
}

// TestStaleClaimsAreNotAwaited: a daemon whose claims became stale must refuse at once a call that
// it cannot answer.
func TestStaleClaimsAreNotAwaited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		age := time.Duration(0)
		called := newServiceWithClaimsAge(tabletest.NewMemory(), func() time.Duration { return age })
		_, err := called.Of("").Results(t.Context(), "unknown", 0, 0)
		require.True(t, failure.Is(err, failure.KindNotFound), "%v", err)
		age = time.Hour
		started := time.Now()
		_, err = called.Of("").Results(t.Context(), "unknown", 0, 0)
		require.True(t, failure.Is(err, failure.KindUnavailable), "%v", err)
		require.Zero(t, time.Since(started), "the call was held")
	})
}

// overtakenStore is a store in which a job is accepted, and the claims become current, just after
// the first read.
type overtakenStore struct {
	table.Store
	overtake func()
}

func (s *overtakenStore) Read(ctx context.Context, wanted table.Range) (table.Page, error) {
	page, err := s.Store.Read(ctx, wanted)
	if overtake := s.overtake; overtake != nil {
		s.overtake = nil
		overtake()
	}
	return page, err
}

// TestReadBeforeCurrentClaimsIsRepeated: a read that began before the claims were current may be
// stale and must not answer that an accepted job does not exist, although the claims are current
// when it ends.
func TestReadBeforeCurrentClaimsIsRepeated(t *testing.T) {
	memory := tabletest.NewMemory()
	accepting := newServiceWithClaimsAge(memory, func() time.Duration { return 0 })
	age := time.Hour
	called := newServiceWithClaimsAge(&overtakenStore{Store: memory, overtake: func() {
		require.NoError(t, accepting.Submit(t.Context(), newJob("j1", 3)))
		age = 0
	}}, func() time.Duration { return age })
	page, err := called.Of("").Results(t.Context(), "j1", 0, 0)
	require.NoError(t, err)
	require.Equal(t, 3, page.Total)
}
