// Package tenant holds the tenants of a configuration with their API keys and limits. Keys are
// stored and looked up by digest only, so that no log line, metric or error can contain one.
package tenant

import (
	"crypto/sha256"
	"encoding/hex"

	"topazpulley/internal/failure"
)

// Digest is the SHA-256 of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// ParseDigest parses a digest in hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return digest, failure.New(failure.KindInvalid, "bad_key_digest", "a key digest is the SHA-256 of the API key, 64 hexadecimal digits")
	}
	copy(digest[:], decoded)
	return digest, nil
}

// Limit bounds the request rate of one tenant over all daemons. A zero PerSecond means no
// bound.
type Limit struct {
	// PerSecond is the sustained rate in requests a second.
	PerSecond float64
	// Burst is the number of additional requests that may arrive at once.
	Burst float64
}

// IsBounded reports whether the rate is bounded.
func (l Limit) IsBounded() bool { return l.PerSecond > 0 }

// Tenant is a customer with its own keys and limit.
type Tenant struct {
	Name string
	Keys []Digest
	// Priority overrides the route's priority if HasPriority is set; 0 is the highest.
	Priority    int
	HasPriority bool
	Limit       Limit
}

// Directory finds tenants by key or name. It is immutable. The zero value and nil contain no
// tenants.
type Directory struct {
	byKey  map[Digest]*Tenant
	byName map[string]*Tenant
}

// NewDirectory returns a directory of the tenants. If two tenants have the same key, it belongs
// to the first.
func NewDirectory(tenants []Tenant) *Directory {
	directory := &Directory{byKey: map[Digest]*Tenant{}, byName: map[string]*Tenant{}}
	for index := range tenants {
		each := &tenants[index]
		directory.byName[each.Name] = each
		for _, key := range each.Keys {
			if _, isTaken := directory.byKey[key]; !isTaken {
				directory.byKey[key] = each
			}
		}
	}
	return directory
}

// Count returns the number of tenants.
func (d *Directory) Count() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// Identify returns the tenant with an API key. The lookup is by digest, so that its duration
// reveals nothing about known keys.
func (d *Directory) Identify(key string) (*Tenant, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	found, isKnown := d.byKey[DigestOf(key)]
	return found, isKnown
}

// Named returns the tenant with a name.
func (d *Directory) Named(name string) (*Tenant, bool) {
	if d == nil {
		return nil, false
	}
	found, isKnown := d.byName[name]
	return found, isKnown
}

// Names returns the names of all tenants in no particular order.
func (d *Directory) Names() []string {
	if d == nil {
		return nil
	}
	names := make([]string, 0, len(d.byName))
	for name := range d.byName {
		names = append(names, name)
	}
	return names
}
