// Package quarantine keeps requests from backends that end whoever runs them.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/pkg/errors"
)

// fingerprintBytes is the length of a fingerprint: 128 bits of a cryptographic
// digest, so that no caller can make a request that is taken for another's.
const fingerprintBytes = 16

// Fingerprint identifies a request by its content: requests that callers send
// again under new ids have the same one. It stands for the body in logs and in
// other daemons' memory.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. The caller is the name of
// the tenant, empty where callers are not known.
func FingerprintOf(method, target, caller string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{method, target, caller} {
		// Lengths keep parts apart: without them, "ab" and "c" would be "a" and "bc".
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = digest.Write(length[:]) // a digest never fails to write
		_, _ = io.WriteString(digest, part)
	}
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint in hexadecimal, as logs and rows carry it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	content, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, errors.WithStack(err)
	}
	return fingerprintFrom(content)
}
