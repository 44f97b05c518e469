// Package rollout decides in which order the engines of a service move to a
// new configuration revision. It is pure; supervisors send the orders.
package rollout

import "sort"

// Engine is the rollout state of one engine.
type Engine struct {
	Name string
	// Fence is the revision that the engine has accepted.
	Fence int64
	// Ready tells that the engine serves.
	Ready bool
	// UpToDate tells that the models it serves are those of the target.
	UpToDate bool
}

// NextWave returns the engines that may be ordered to the target revision now.
// Engines that do not serve cost nothing and all go at once, as do those whose
// models stay the same. Of the serving ones, no more go than keeps the number
// of unavailable engines within the bound.
func NextWave(engines []Engine, target int64, maxUnavailable int) []string {
	wave := []string{}
	candidates := []string{}
	unavailable := 0
	for _, engine := range engines {
		if !engine.Ready {
			unavailable++
		}
		if engine.Fence >= target {
			continue
		}
		if !engine.Ready || engine.UpToDate {
			wave = append(wave, engine.Name)
			continue
		}
		candidates = append(candidates, engine.Name)
	}
	sort.Strings(candidates)
	free := max(maxUnavailable-unavailable, 0)
	wave = append(wave, candidates[:min(free, len(candidates))]...)
	sort.Strings(wave)
	return wave
}
