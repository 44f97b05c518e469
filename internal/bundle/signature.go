package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"topazpulley/internal/failure"
)

// Signature is one operator's signature of a bundle's digest.
type Signature struct {
	// Operator is the name of the key's owner.
	Operator string `json:"operator" toml:"operator"`
	// Value is the Ed25519 signature of the digest, in hexadecimal.
	Value string `json:"value" toml:"value"`
}

// Digest returns the SHA-256 of a bundle's text in hexadecimal.
func Digest(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// signedMessage returns the message that is signed. Its prefix makes a signature
// invalid for any other use of the key.
func signedMessage(digest string) []byte { return []byte("topazpulley bundle v1 " + digest) }

// Sign signs the text with an operator's private key.
func Sign(text, operator string, key ed25519.PrivateKey) Signature {
	signed := ed25519.Sign(key, signedMessage(Digest(text)))
	return Signature{Operator: operator, Value: hex.EncodeToString(signed)}
}

// Verify returns an error unless at least required distinct operators have signed
// the text. An invalid signature is an error even if enough others are valid.
func Verify(text string, signatures []Signature, publicKeys map[string]string, required int) error {
	digest := Digest(text)
	signers := map[string]bool{}
	for _, signature := range signatures {
		if err := verifyOne(digest, signature, publicKeys); err != nil {
			return err
		}
		signers[signature.Operator] = true
	}
	if len(signers) < required {
		return failure.New(failure.KindUnauthorized, "too_few_signatures",
			"the bundle has %d valid signatures and needs %d: have more operators sign it", len(signers), required)
	}
	return nil
}

func verifyOne(digest string, signature Signature, publicKeys map[string]string) error {
	encoded, known := publicKeys[signature.Operator]
	if !known {
		return failure.New(failure.KindUnauthorized, "unknown_operator",
			"operator %q is not among operator_keys", signature.Operator)
	}
	publicKey, err := hex.DecodeString(encoded)
	if err != nil || len(publicKey) != ed25519.PublicKeySize {
		return failure.New(failure.KindInvalid, "bad_operator_key",
			"operator_keys.%s must be 32 bytes in hexadecimal", signature.Operator)
	}
	value, err := hex.DecodeString(signature.Value)
	if err != nil || !ed25519.Verify(publicKey, signedMessage(digest), value) {
		return failure.New(failure.KindUnauthorized, "bad_signature",
			"the signature of %q is not valid for this bundle: sign its current text", signature.Operator)
	}
	return nil
}

// Difference lists the models, services and tenants that were added, changed or
// removed between two bundles.
func Difference(before, after *Bundle) []string {
	changes := []string{}
	changes = append(changes, differenceOf("model", before.Models, after.Models, func(a, b Model) bool {
		return a.Version == b.Version && equalStrings(a.Adapters, b.Adapters)
	})...)
	changes = append(changes, differenceOf("service", before.Services, after.Services, func(a, b Service) bool {
		return a.Kind == b.Kind && a.Role == b.Role && a.Policy == b.Policy &&
			a.MaxUnavailable == b.MaxUnavailable && a.RefuseWhenCutOff == b.RefuseWhenCutOff && equalStrings(a.Models, b.Models)
	})...)
	changes = append(changes, differenceOf("tenant", before.Tenants, after.Tenants, func(a, b Tenant) bool { return a == b })...)
	sort.Strings(changes)
	return changes
}

func differenceOf[V any](kind string, before, after map[string]V, same func(a, b V) bool) []string {
	changes := []string{}
	for name, old := range before {
		current, kept := after[name]
		if !kept {
			changes = append(changes, kind+" "+name+": removed")
			continue
		}
		if !same(old, current) {
			changes = append(changes, kind+" "+name+": changed")
		}
	}
	for name := range after {
		if _, existed := before[name]; !existed {
			changes = append(changes, kind+" "+name+": added")
		}
	}
	return changes
}

func equalStrings(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for index := range a {
		if a[index] != b[index] {
			return false
		}
	}
	return true
}
