package serving

import (
	"topazpulley/internal/quarantine"
	"topazpulley/internal/routing"
)

// PartsOf returns the fingerprints of a prompt's parts at a service.
func PartsOf(service string, prompt []routing.PromptPart) quarantine.Parts {
	parts := make(quarantine.Parts, 0, len(prompt))
	for _, each := range prompt {
		parts = append(parts, quarantine.PartFingerprint(service, each.ID))
	}
	return parts
}
