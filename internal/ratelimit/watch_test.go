package ratelimit

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/telemetry"
)

// observedFleet is a fleet seen by one daemon; mutex guards live.
type observedFleet struct {
	mutex  sync.Mutex
	live   []Daemon
	recent recentDaemons
}

func (*observedFleet) Self() string { return "d00" }

func (f *observedFleet) View() View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missing := f.recent.missing(f.live, func(string) bool { return false }, time.Now())
	return View{Daemons: f.live, Missing: missing, IsKnown: true}
}

func (*observedFleet) Ask(context.Context, string, Request) (Answer, error) {
	return Answer{}, errUnreachable{}
}

func (f *observedFleet) see(count int) {
	live := []Daemon{}
	for index := range count {
		name := fmt.Sprintf("d%02d", index)
		live = append(live, Daemon{Name: name, Address: name})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.live = live
}

// TestPartitionIsDetectedWithoutRequests fails if a daemon that had no requests before a
// partition doesn't detect it, or doesn't grant full shards after it.
func TestPartitionIsDetectedWithoutRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &observedFleet{recent: recentDaemons{}}
		fleet.see(60)
		limiter := New(fleet, tolerance, telemetry.NewTenants(prometheus.NewRegistry()), discardLog)
		watching, stop := context.WithCancel(t.Context())
		go limiter.WatchFleet(watching, func() bool { return true })
		time.Sleep(2 * time.Second)
		fleet.see(15)
		time.Sleep(5 * time.Second)
		cut := limiter.rankings.forTenant("t", time.Now())
		require.Equal(t, 45, cut.notReaching)
		require.Equal(t, grantedShare(0.25), cut.granted)
		fleet.see(60)
		require.Eventually(t, func() bool { return limiter.rankings.forTenant("t", time.Now()).granted == fullShare }, time.Minute, rankingInterval)
		stop()
		synctest.Wait()
	})
}
