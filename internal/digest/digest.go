// Package digest hashes several texts as one.
package digest

import (
	"encoding/binary"
	"hash"
	"io"
)

// WriteParts adds texts to a hash, each with its length before it, which distinguishes "ab", "c"
// from "a", "bc".
func WriteParts(digest hash.Hash, parts ...string) {
	for _, part := range parts {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		_, _ = digest.Write(length[:]) // a hash never fails to write
		_, _ = io.WriteString(digest, part)
	}
}
