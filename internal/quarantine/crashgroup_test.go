package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
)

// timedFleet is a fleet with a clock that the test advances.
type timedFleet struct {
	*fleet
	elapsed time.Duration
	crashed int
}

func newTimedFleet(count int) *timedFleet {
	made := &timedFleet{fleet: newFleet(count)}
	start := boottime.Now()
	for _, guard := range made.guards {
		guard.Clock = func() boottime.Instant { return start.Add(made.elapsed) }
	}
	return made
}

// crashOne lets another backend crash under a request, observed by one daemon.
func (f *timedFleet) crashOne(fingerprint Fingerprint, observer int) {
	f.guards[observer].Crashed(fmt.Sprintf("i%d", f.crashed), []Run{{Fingerprint: fingerprint}})
	f.crashed++
}

// crashesUntilQuarantined lets backends crash one after the other until all daemons have
// quarantined the request. It returns the number of crashes, or most+1.
func (f *timedFleet) crashesUntilQuarantined(fingerprint Fingerprint, firstObserver, most int) int {
	for count := 1; count <= most; count++ {
		f.elapsed += crashGroupTime + time.Millisecond
		f.crashOne(fingerprint, (firstObserver+count)%len(f.guards))
		if f.quarantined(fingerprint) == len(f.guards) {
			return count
		}
	}
	return most + 1
}

// TestSuccessExcusesOneCrashGroup guards against a culprit that is never quarantined because
// a faulty backend answers it once: the success may excuse one crash group only.
func TestSuccessExcusesOneCrashGroup(t *testing.T) {
	const daemons, most = 5, 10
	for firstObserver := range daemons {
		for _, servers := range [][]int{{2}, {0, 2}, {0, 1, 2, 3, 4}} {
			f, culprit := newTimedFleet(daemons), numbered(1)
			f.crashOne(culprit, firstObserver)
			for _, server := range servers {
				f.guards[server].Succeeded(culprit)
			}
			require.Equal(t, 1+testPolicy.Crashes, f.crashesUntilQuarantined(culprit, firstObserver, most), "first observed by %d, served by %v", firstObserver, servers)
			require.Len(t, f.rows, testPolicy.Crashes)
		}
	}
}

// TestCrashGroupsBetweenSuccessesAreExcused guards against the quarantine of a popular
// request that was in flight at several groups of backends that crashed for another reason.
func TestCrashGroupsBetweenSuccessesAreExcused(t *testing.T) {
	const groups, crashesPerGroup = 8, 6
	f, popular := newTimedFleet(4), numbered(1)
	for group := range groups {
		f.guards[group%len(f.guards)].Succeeded(popular)
		f.elapsed += time.Second
		for crash := range crashesPerGroup {
			f.crashOne(popular, crash%len(f.guards))
			f.elapsed += crashGroupTime / crashesPerGroup
		}
		require.Zero(t, f.quarantined(popular))
		require.Empty(t, f.rows)
	}
}

// TestOldEvidenceIsNotExcused guards against a stalled daemon that receives the evidence of
// several crashes at once and withdraws it from all daemons.
func TestOldEvidenceIsNotExcused(t *testing.T) {
	f, culprit := newTimedFleet(1), numbered(1)
	f.guards[0].Succeeded(culprit)
	for crash := range testPolicy.Crashes {
		late := Evidence{Fingerprint: culprit, Instance: fmt.Sprint("i", crash), At: time.Now().Add(-3 * time.Second)}
		f.guards[0].Receive(Notice{Evidence: []Evidence{late}}, SourcePeer)
	}
	require.Equal(t, 1, f.quarantined(culprit))
}

// TestExcusedCrashStaysExcused checks that an excused crash that is also received from the
// store, after crashGroupTime, is not counted.
func TestExcusedCrashStaysExcused(t *testing.T) {
	f, popular := newTimedFleet(1), numbered(1)
	observed := Evidence{Fingerprint: popular, Instance: "i", At: time.Now()}
	f.guards[0].Succeeded(popular)
	f.guards[0].Receive(Notice{Evidence: []Evidence{observed}}, SourcePeer)
	f.elapsed += 2 * crashGroupTime
	f.guards[0].Receive(Notice{Evidence: []Evidence{observed}}, SourceStore)
	require.False(t, f.guards[0].ledger.IsSuspect(popular))
}
