package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sleepScenarios suspend machines of the fleet for a span. Coordinators have full buckets at
// the start.
func sleepScenarios() map[string]func(model *fleetModel, span time.Duration) {
	return map[string]func(model *fleetModel, span time.Duration){
		"all coordinators": func(model *fleetModel, span time.Duration) {
			for _, coordinator := range topDaemons("t", allOf(model), maxShards) {
				model.sleep(coordinator.Name, span)
			}
		},
		"coordinators, one after the other": func(model *fleetModel, span time.Duration) {
			for _, coordinator := range topDaemons("t", allOf(model), maxShards) {
				model.sleep(coordinator.Name, span)
				time.Sleep(500 * time.Millisecond)
			}
		},
		"a third": func(model *fleetModel, span time.Duration) {
			for index, name := range model.names {
				if index%3 == 0 {
					model.sleep(name, span)
				}
			}
		},
		"all": func(model *fleetModel, span time.Duration) {
			for _, name := range model.names {
				model.sleep(name, span)
			}
		},
	}
}

// isolatedScenarios leave the fleet without coordinators and backups for some time.
func isolatedScenarios() map[string]func(model *fleetModel, span time.Duration) {
	return map[string]func(model *fleetModel, span time.Duration){
		"coordinators and backups": func(model *fleetModel, span time.Duration) {
			for _, coordinator := range topDaemons("t", allOf(model), 2*maxShards) {
				model.sleep(coordinator.Name, span)
			}
		},
		"backups after coordinators": func(model *fleetModel, span time.Duration) {
			order := topDaemons("t", allOf(model), 2*maxShards)
			for _, coordinator := range order[:maxShards] {
				model.sleep(coordinator.Name, span)
			}
			time.Sleep(2 * time.Second)
			for _, coordinator := range order[maxShards:] {
				model.sleep(coordinator.Name, span)
			}
		},
	}
}

// TestNoWindowExceedsLimitAroundSleep fails if a window exceeds the limit because suspended
// coordinators resume with full buckets, in addition to what others granted meanwhile.
func TestNoWindowExceedsLimitAroundSleep(t *testing.T) {
	for name, run := range sleepScenarios() {
		requireLimitAroundSleeps(t, name, run)
	}
}

// TestNoWindowExceedsLimitWithoutCoordinators fails if the daemons' own shares together exceed
// the limit.
func TestNoWindowExceedsLimitWithoutCoordinators(t *testing.T) {
	for name, run := range isolatedScenarios() {
		requireLimitAroundSleeps(t, name, run)
	}
}

func requireLimitAroundSleeps(t *testing.T, name string, run func(model *fleetModel, span time.Duration)) {
	for _, span := range []time.Duration{time.Second, 5 * time.Second, time.Minute} {
		for _, perSecond := range []float64{3, 12, 60} {
			for seed := range uint64(2) {
				t.Run(fmt.Sprintf("%s for %v at %g a second, seed %d", name, span, perSecond, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						requireLimitAroundSleep(t, run, span, perSecond, seed)
					})
				})
			}
		}
	}
}

func requireLimitAroundSleep(t *testing.T, run func(model *fleetModel, span time.Duration), span time.Duration, perSecond float64, seed uint64) {
	const lowLoadTime, overloadTime, recoveryTime = 8 * time.Second, time.Second, 8 * time.Second
	random := rand.New(rand.NewPCG(seed, 4))
	model, limit := newModel(60), limitOf(perSecond)
	model.traffic(random, limit, perSecond/10, lowLoadTime)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(overloadTime * time.Duration(seed))
		run(model, span)
	}()
	model.traffic(random, limit, 5*perSecond, overloadTime+span+recoveryTime)
	<-done
	require.LessOrEqual(t, float64(model.maxInWindow(tolerance.Window)), bound(limit))
	require.Greater(t, len(model.sent), int(perSecond*recoveryTime.Seconds()/3), "hardly anything was admitted")
}
