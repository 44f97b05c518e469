package ratelimit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/telemetry"
)

// rememberingView is the view of a daemon that counts those as missing that it has seen itself.
type rememberingView struct {
	modelView
	recent recentDaemons
}

func (v rememberingView) View() View {
	view := v.modelView.View()
	view.Missing = v.recent.missing(view.Daemons, func(string) bool { return false }, time.Now())
	return view
}

// rememberFleet lets the daemons of a model watch the fleet until the context ends.
func (m *fleetModel) rememberFleet(ctx context.Context) {
	for _, name := range m.names {
		view := rememberingView{modelView: modelView{model: m, name: name}, recent: recentDaemons{}}
		limiter := New(view, tolerance, telemetry.NewTenants(prometheus.NewRegistry()), discardLog)
		m.daemons[name].limiter = limiter
		go limiter.WatchFleet(ctx, func() bool { return true })
	}
}

// TestNoWindowExceedsLimitBehindLongPartition guards against sides of a partition that each take
// the daemons beyond it for gone and grant the whole limit.
func TestNoWindowExceedsLimitBehindLongPartition(t *testing.T) {
	const settled, cutTime, healed = 2 * time.Second, 40 * time.Second, 10 * time.Second
	for _, perSecond := range []float64{3, 12, 40} {
		for _, cutOff := range []int{1, 15, 30} {
			t.Run(fmt.Sprintf("%g a second, %d of 60 cut off", perSecond, cutOff), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					random := rand.New(rand.NewPCG(uint64(cutOff), 8))
					model, limit := newModel(60), limitOf(perSecond)
					watching, stop := context.WithCancel(t.Context())
					model.rememberFleet(watching)
					model.traffic(random, limit, perSecond/3, settled)
					model.startPartition(model.randomPart(cutOff, random), cutTime, detections["one after the other"], random)
					model.traffic(random, limit, 5*perSecond, cutTime+healed)
					stop()
					synctest.Wait()
					most := model.maxInWindow(tolerance.Window)
					t.Logf("%d in a window, %.1f allowed", most, bound(limit))
					require.LessOrEqual(t, float64(most), bound(limit))
				})
			})
		}
	}
}
