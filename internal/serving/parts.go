package serving

import (
	"slices"

	"topazpulley/internal/quarantine"
	"topazpulley/internal/routing"
)

// PartsOf returns the fingerprints of a prompt's parts at a service.
func PartsOf(service string, prompt []routing.PromptPart) quarantine.Parts {
	parts := make(quarantine.Parts, 0, len(prompt))
	for _, each := range prompt {
		parts = append(parts, quarantine.PartFingerprint(service, each.ID))
	}
	if len(parts) <= 1 {
		return parts
	}
	return withoutRepeats(parts)
}

// withoutRepeats removes all but the first of equal fingerprints.
func withoutRepeats(parts quarantine.Parts) quarantine.Parts {
	const scanned = 16 // up to which a scan is cheaper than a map
	if len(parts) <= scanned {
		kept := parts[:0]
		for _, each := range parts {
			if !slices.Contains(kept, each) {
				kept = append(kept, each)
			}
		}
		return kept
	}
	seen := make(map[quarantine.Fingerprint]struct{}, len(parts))
	return slices.DeleteFunc(parts, func(each quarantine.Fingerprint) bool {
		_, isRepeated := seen[each]
		seen[each] = struct{}{}
		return isRepeated
	})
}
