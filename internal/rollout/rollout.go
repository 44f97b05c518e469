// Package rollout decides in which order the engines of a service move to a new
// configuration revision. It has no state and no side effects; supervisors send the
// orders to the engines.
package rollout

import "sort"

// Engine is the rollout state of one engine.
type Engine struct {
	Name string
	// Fence is the revision that the engine has accepted.
	Fence int64
	// Ready reports that the engine serves requests.
	Ready bool
	// UpToDate reports that the loaded models are those of the target revision.
	UpToDate bool
}

// NextWave returns the names of the engines that may be ordered to the target revision
// now. It includes all engines that are not ready and all whose models stay the same,
// as ordering them takes no engine out of service. Of the other ready engines, it
// includes as many as keep the number of unavailable engines within maxUnavailable.
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
