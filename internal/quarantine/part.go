package quarantine

import (
	"crypto/sha256"
	"log/slog"

	"topazpulley/internal/digest"
)

// partMarker is the beginning of the fingerprint of every prompt part, "part" in ASCII, so that
// evidence against a part can be told from evidence against a request wherever it is kept.
const partMarker = "part"

// PartFingerprint returns the fingerprint of a prompt part at a service. Each service has models
// of its own, so that a part may crash the backends of one and be sound at another.
func PartFingerprint(service, id string) Fingerprint {
	hashed := sha256.New()
	digest.WriteParts(hashed, service, id)
	made := Fingerprint(hashed.Sum(nil)[:fingerprintBytes])
	copy(made[:], partMarker)
	return made
}

// IsPart reports whether the fingerprint is that of a prompt part.
func (f Fingerprint) IsPart() bool { return string(f[:len(partMarker)]) == partMarker }

// Kind says what a fingerprint identifies.
type Kind string

// The kinds of fingerprints.
const (
	KindRequest Kind = "request"
	KindPart    Kind = "part"
)

// Kind returns what the fingerprint identifies.
func (f Fingerprint) Kind() Kind {
	if f.IsPart() {
		return KindPart
	}
	return KindRequest
}

// Parts are the fingerprints of the parts of a request's prompt, in order.
type Parts []Fingerprint

// SoundOutputs is the number of events or tokens after which a run shows that the parts of its
// prompt do not crash the backend. A part may crash it while the first one is sent.
const SoundOutputs = 2

// maxLoggedParts is the maximum number of fingerprints of a request's parts in a log line.
const maxLoggedParts = 8

// LogValue implements slog.LogValuer. It shows the first fingerprints.
func (p Parts) LogValue() slog.Value {
	shown := make([]string, 0, maxLoggedParts)
	for _, each := range p[:min(len(p), maxLoggedParts)] {
		shown = append(shown, each.String())
	}
	return slog.AnyValue(shown)
}
