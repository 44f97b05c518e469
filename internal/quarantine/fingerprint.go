// Package quarantine stops requests that crash the backends that run them.
//
// A Guard collects crash evidence by fingerprint, of a request's content and of each part of its
// prompt: from this daemon, from other daemons and from the store. A request or part with enough
// evidence is quarantined for a limited time; a success of the same request, or output for a prompt
// with the same part, withdraws the evidence.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"

	"topazpulley/internal/digest"
)

// fingerprintBytes is the length of a fingerprint: 128 bits of a cryptographic digest,
// so that callers cannot construct a collision.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content, whatever its id. Logs and messages
// carry it instead of the body.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. The caller is the tenant's name,
// or empty if it is unknown.
func FingerprintOf(method, target, caller string, body []byte) Fingerprint {
	hashed := sha256.New()
	digest.WriteParts(hashed, method, target, caller)
	_, _ = hashed.Write(body) // a hash never fails to write
	return Fingerprint(hashed.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal, the form in logs and row keys.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.WithStack(err)
	}
	return fingerprintFrom(content)
}
