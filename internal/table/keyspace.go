package table

import (
	"slices"
	"strings"
)

// Keyspace is an estimate of how a table's keys are distributed: a common prefix,
// followed by digits that are uniform over an alphabet. A wrong estimate only makes the
// sections uneven.
type Keyspace struct {
	prefix   string
	alphabet []byte
	// digits is the number of bytes after the prefix that are considered.
	digits int
}

// maxDigits bounds Keyspace.digits. Fractions of 12 hexadecimal digits are exact in a
// float64.
const maxDigits = 12

// KeyspaceOf estimates the keyspace from the first keys of a table in key order. Trailing
// bytes of their common prefix that are in the alphabet count as digits, because later keys
// may differ in them. Up to a quarter of the keys at either end may be unlike the others.
func KeyspaceOf(first []string) Keyspace {
	if len(first) == 0 {
		return Keyspace{}
	}
	first = typicalKeys(first)
	shared := commonPrefix(first[0], first[len(first)-1])
	space := Keyspace{}
	for position := len(shared); ; position++ {
		distinct, isLongEnough := bytesAt(first, position)
		if !isLongEnough {
			break
		}
		if len(distinct) > 1 {
			space.alphabet = append(space.alphabet, distinct...)
			space.digits = position + 1
		}
	}
	slices.Sort(space.alphabet)
	space.alphabet = slices.Compact(space.alphabet)
	fixed := len(shared)
	for fixed > 0 && slices.Contains(space.alphabet, shared[fixed-1]) {
		fixed--
	}
	space.prefix = shared[:fixed]
	space.digits = min(max(space.digits-fixed, 0), maxDigits)
	return space
}

// typicalKeys returns the keys that begin like those in the middle.
func typicalKeys(sorted []string) []string {
	quarter := len(sorted) / 4
	return withPrefix(sorted, commonPrefix(sorted[quarter], sorted[len(sorted)-1-quarter]))
}

func withPrefix(keys []string, prefix string) []string {
	found := make([]string, 0, len(keys))
	for _, key := range keys {
		if strings.HasPrefix(key, prefix) {
			found = append(found, key)
		}
	}
	return found
}

// bytesAt returns the distinct bytes of the keys at a position, and whether any key is
// long enough.
func bytesAt(keys []string, position int) (distinct []byte, isLongEnough bool) {
	for _, key := range keys {
		if position < len(key) {
			distinct = append(distinct, key[position])
		}
	}
	slices.Sort(distinct)
	return slices.Compact(distinct), len(distinct) > 0
}

func commonPrefix(a, b string) string {
	length := 0
	for length < len(a) && length < len(b) && a[length] == b[length] {
		length++
	}
	return a[:length]
}

// At returns the key at a fraction of the keyspace, in [0, 1).
func (k Keyspace) At(fraction float64) string {
	var key strings.Builder
	key.WriteString(k.prefix)
	base := float64(len(k.alphabet))
	for range k.digits {
		fraction *= base
		digit := min(int(fraction), len(k.alphabet)-1)
		key.WriteByte(k.alphabet[digit])
		fraction -= float64(digit)
	}
	return key.String()
}

// Fraction returns the fraction of the keyspace before a key, in [0, 1].
func (k Keyspace) Fraction(key string) float64 {
	rest, hasPrefix := strings.CutPrefix(key, k.prefix)
	if !hasPrefix {
		if key < k.prefix {
			return 0
		}
		return 1
	}
	fraction, weight := 0.0, 1.0
	for index := range min(len(rest), k.digits) {
		weight /= float64(len(k.alphabet))
		digit, _ := slices.BinarySearch(k.alphabet, rest[index])
		fraction += weight * float64(digit)
	}
	return min(fraction, 1)
}

// Estimate returns the estimated number of rows of a table with these first keys. Keys outside the
// keyspace are not counted.
func (k Keyspace) Estimate(first []string) float64 {
	if len(first) == 0 {
		return 0
	}
	if first = withPrefix(first, k.prefix); len(first) == 0 {
		return maxEstimate
	}
	lastFraction := k.Fraction(first[len(first)-1])
	if lastFraction <= 0 {
		return maxEstimate
	}
	return min(float64(len(first))/lastFraction, maxEstimate)
}

// maxEstimate bounds the result of Estimate.
const maxEstimate = 1e12
