package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// sleepScenarios put machines of a fleet to sleep for a span. Keepers hold all that the
// limit lets them save when that begins.
func sleepScenarios() map[string]func(model *fleetModel, span time.Duration) {
	return map[string]func(model *fleetModel, span time.Duration){
		"all keepers": func(model *fleetModel, span time.Duration) {
			for _, keeper := range pick("t", allOf(model), mostParts) {
				model.sleep(keeper.Name, span)
			}
		},
		"keepers, one after the other": func(model *fleetModel, span time.Duration) {
			for _, keeper := range pick("t", allOf(model), mostParts) {
				model.sleep(keeper.Name, span)
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

// silentScenarios are those in which no keeper is heard for a while, and nobody who could
// stand in for one.
func silentScenarios() map[string]func(model *fleetModel, span time.Duration) {
	return map[string]func(model *fleetModel, span time.Duration){
		"keepers and who stands in": func(model *fleetModel, span time.Duration) {
			for _, keeper := range pick("t", allOf(model), 2*mostParts) {
				model.sleep(keeper.Name, span)
			}
		},
		"who stands in, after the keepers": func(model *fleetModel, span time.Duration) {
			order := pick("t", allOf(model), 2*mostParts)
			for _, keeper := range order[:mostParts] {
				model.sleep(keeper.Name, span)
			}
			time.Sleep(2 * time.Second)
			for _, keeper := range order[mostParts:] {
				model.sleep(keeper.Name, span)
			}
		},
	}
}

// TestNoWindowPassesTheLimitAroundASleep: machines sleep while a tenant that was quiet
// sends five times its limit. Their steady clocks stand still: keepers wake with all that
// they had saved before, beside what others granted in their place.
func TestNoWindowPassesTheLimitAroundASleep(t *testing.T) {
	for name, run := range sleepScenarios() {
		requireLimitAroundSleeps(t, name, run)
	}
}

// TestNoWindowPassesTheLimitWhileNobodyIsHeard: all daemons decide alone.
func TestNoWindowPassesTheLimitWhileNobodyIsHeard(t *testing.T) {
	for name, run := range silentScenarios() {
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
	const quietTime, hotTime, restTime = 8 * time.Second, time.Second, 8 * time.Second
	random := rand.New(rand.NewPCG(seed, 4))
	model, limit := newModel(60), limitOf(perSecond)
	model.traffic(random, limit, perSecond/10, quietTime)
	done := make(chan struct{})
	go func() {
		defer close(done)
		time.Sleep(hotTime * time.Duration(seed))
		run(model, span)
	}()
	model.traffic(random, limit, 5*perSecond, hotTime+span+restTime)
	<-done
	require.LessOrEqual(t, float64(model.mostInAWindow(tolerance.Window)), bound(limit))
	require.Greater(t, len(model.sent), int(perSecond*restTime.Seconds()/3), "hardly anything was admitted")
}
