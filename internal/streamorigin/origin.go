// Package streamorigin remembers where resumable streams began: at which service and at which
// software version of its backends. A stream may be resumed only there, since what two versions
// write does not fit together.
//
// A Keeper holds the origins of the streams that its daemon serves, and copies for other
// daemons. While a service has one software version only, nothing is copied: a stream without
// a record began at that version. Find decides where a stream is resumed; it prefers refusing
// a stream to resuming it at a version that is not certain.
package streamorigin

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"topazpulley/internal/backend"
	"topazpulley/internal/digest"
)

// keyBytes is the length of a key.
const keyBytes = 16

// Key identifies the caller's request that received the first event of a stream. It has a fixed
// size, whatever id the caller chose.
type Key [keyBytes]byte

// KeyOf returns the key of a request. Requests of different tenants or hosts have different
// keys, so that no caller resumes another one's stream.
func KeyOf(host, tenant, id string) Key {
	hashed := sha256.New()
	digest.WriteParts(hashed, host, tenant, id)
	return Key(hashed.Sum(nil)[:keyBytes])
}

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Origin is where a stream began.
type Origin struct {
	Service string
	// Software is the software version of the backend that sent the first event. Empty means
	// that it is unknown; such a stream cannot be resumed.
	Software string
}

// Continues reports whether what begins at one origin certainly goes on with what began at another.
func (o Origin) Continues(began Origin) bool { return o.Software != "" && o == began }

// Record is the origin of one stream.
type Record struct {
	Key    Key
	Origin Origin
	// Expires is when the caller will have stopped waiting.
	Expires time.Time
}

// maxRecordTime is the longest time for which a record is kept. A caller cannot extend it.
const maxRecordTime = backend.StreamWindow

// expiryOf returns when a record expires whose caller waits until the deadline.
func expiryOf(deadline, now time.Time) time.Time {
	latest := now.Add(maxRecordTime)
	if deadline.After(latest) {
		return latest
	}
	return deadline
}
