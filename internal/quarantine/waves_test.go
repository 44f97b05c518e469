package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/boottime"
)

// timedFleet is a fleet whose daemons' clocks the test moves.
type timedFleet struct {
	*fleet
	passed time.Duration
	ended  int
}

func newTimedFleet(count int) *timedFleet {
	made := &timedFleet{fleet: newFleet(count)}
	start := boottime.Now()
	for _, guard := range made.guards {
		guard.Clock = func() boottime.Instant { return start.Add(made.passed) }
	}
	return made
}

// endOne has one more backend end under a request, seen by one daemon.
func (f *timedFleet) endOne(fingerprint Fingerprint, seer int) {
	f.guards[seer].Crashed(fmt.Sprintf("i%d", f.ended), []Run{{Fingerprint: fingerprint}})
	f.ended++
}

// endsUntilHeld has backends end one after the other until all daemons hold the
// request, and returns how many that took; at most so many.
func (f *timedFleet) endsUntilHeld(fingerprint Fingerprint, firstSeer, most int) int {
	for count := 1; count <= most; count++ {
		f.passed += waveTime + time.Millisecond
		f.endOne(fingerprint, (firstSeer+count)%len(f.guards))
		if f.held(fingerprint) == len(f.guards) {
			return count
		}
	}
	return most + 1
}

// TestOneGoodEndDoesNotSpeakForACulprit: a backend that misbehaved answered a request
// that ended all others, once or twice, and for ten seconds each further end was held
// against nobody, so that twelve backends ended under it. It may speak against one.
func TestOneGoodEndDoesNotSpeakForACulprit(t *testing.T) {
	const daemons, most = 5, 10
	for firstSeer := range daemons {
		for _, servers := range [][]int{{2}, {0, 2}, {0, 1, 2, 3, 4}} {
			f, culprit := newTimedFleet(daemons), numbered(1)
			f.endOne(culprit, firstSeer)
			for _, server := range servers {
				f.guards[server].Succeeded(culprit)
			}
			require.Equal(t, 1+testPolicy.Crashes, f.endsUntilHeld(culprit, firstSeer, most), "first seen by %d, served by %v", firstSeer, servers)
			require.Len(t, f.rows, testPolicy.Crashes)
		}
	}
}

// TestWavesBetweenGoodEndsAccuseNobody: many callers send one request; waves end six
// backends each while it is in flight there, and between two waves it is served.
func TestWavesBetweenGoodEndsAccuseNobody(t *testing.T) {
	const waves, endsAWave = 8, 6
	f, popular := newTimedFleet(4), numbered(1)
	for wave := range waves {
		f.guards[wave%len(f.guards)].Succeeded(popular)
		f.passed += time.Second
		for end := range endsAWave {
			f.endOne(popular, end%len(f.guards))
			f.passed += waveTime / endsAWave
		}
		require.Zero(t, f.held(popular))
		require.Empty(t, f.rows)
	}
}

// TestLateEvidenceIsNoWave: a daemon that stood still hears of several ends at once. It
// cannot tell that they came together, and what it knows of a good end must not take
// them back for all others.
func TestLateEvidenceIsNoWave(t *testing.T) {
	f, culprit := newTimedFleet(1), numbered(1)
	f.guards[0].Succeeded(culprit)
	for end := range testPolicy.Crashes {
		late := Evidence{Fingerprint: culprit, Instance: fmt.Sprint("i", end), At: time.Now().Add(-3 * time.Second)}
		f.guards[0].Receive(Notice{Evidence: []Evidence{late}}, SourcePeer)
	}
	require.Equal(t, 1, f.held(culprit))
}

// TestExcusedEndStaysExcused: the store tells of an end that a daemon has already
// excused, later than the wave lasted.
func TestExcusedEndStaysExcused(t *testing.T) {
	f, popular := newTimedFleet(1), numbered(1)
	seen := Evidence{Fingerprint: popular, Instance: "i", At: time.Now()}
	f.guards[0].Succeeded(popular)
	f.guards[0].Receive(Notice{Evidence: []Evidence{seen}}, SourcePeer)
	f.passed += 2 * waveTime
	f.guards[0].Receive(Notice{Evidence: []Evidence{seen}}, SourceStore)
	require.False(t, f.guards[0].ledger.IsSuspect(popular))
}
