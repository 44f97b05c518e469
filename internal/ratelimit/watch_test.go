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

// sightedFleet is a fleet as a daemon sees it by its own sightings; mutex guards live.
type sightedFleet struct {
	mutex     sync.Mutex
	live      []Daemon
	sightings sightings
}

func (*sightedFleet) Self() string { return "d00" }

func (f *sightedFleet) View() View {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	missing := f.sightings.missed(f.live, func(string) bool { return false }, time.Now())
	return View{Daemons: f.live, Missing: missing, IsKnown: true}
}

func (*sightedFleet) Ask(context.Context, string, Request) (Answer, error) {
	return Answer{}, errUnreachable{}
}

func (f *sightedFleet) see(count int) {
	live := []Daemon{}
	for index := range count {
		name := fmt.Sprintf("d%02d", index)
		live = append(live, Daemon{Name: name, Address: name})
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.live = live
}

// TestCutIsNoticedThoughNobodyAsked: a daemon to which no request of a tenant with a
// limit came before a part of the fleet was cut off misses that part all the same, and
// grants its parts of limits whole again once it sees it.
func TestCutIsNoticedThoughNobodyAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := &sightedFleet{sightings: sightings{}}
		fleet.see(60)
		limiter := New(fleet, tolerance, telemetry.NewTenants(prometheus.NewRegistry()), quiet)
		watching, stop := context.WithCancel(t.Context())
		go limiter.WatchFleet(watching, func() bool { return true })
		time.Sleep(2 * time.Second)
		fleet.see(15)
		time.Sleep(5 * time.Second)
		cut := limiter.rankings.of("t", time.Now())
		require.Equal(t, 45, cut.unreached)
		require.Equal(t, grantedBy(0.25), cut.reach)
		fleet.see(60)
		require.Eventually(t, func() bool { return limiter.rankings.of("t", time.Now()).reach == wholeReach }, time.Minute, rankingAge)
		stop()
		synctest.Wait()
	})
}
