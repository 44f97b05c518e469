package table

import (
	"slices"
	"strings"
)

// Keyspace is a guess how the keys of a table are spread, from the first of them: behind a
// common beginning, evenly over the words of an alphabet. Only balance rests on it: where
// it is wrong, sections begin at other keys than they should.
type Keyspace struct {
	prefix   string
	alphabet []byte
	// digits is how many letters behind the prefix are told apart.
	digits int
}

// mostDigits bounds the letters that are told apart: fractions are exact for as many of 16
// each.
const mostDigits = 12

// KeyspaceOf guesses from the first keys of a table, in their order. The first keys also
// share leading letters by which later ones differ; those belong to the alphabet.
func KeyspaceOf(first []string) Keyspace {
	if len(first) == 0 {
		return Keyspace{}
	}
	shared := commonPrefix(first[0], first[len(first)-1])
	space := Keyspace{}
	for position := len(shared); ; position++ {
		letters, isInside := lettersAt(first, position)
		if !isInside {
			break
		}
		if len(letters) > 1 {
			space.alphabet = append(space.alphabet, letters...)
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
	space.digits = min(max(space.digits-fixed, 0), mostDigits)
	return space
}

// lettersAt returns the different letters that keys have at a position, and whether any key
// is that long.
func lettersAt(keys []string, position int) (letters []byte, isInside bool) {
	for _, key := range keys {
		if position < len(key) {
			letters = append(letters, key[position])
		}
	}
	slices.Sort(letters)
	return slices.Compact(letters), len(letters) > 0
}

func commonPrefix(a, b string) string {
	length := 0
	for length < len(a) && length < len(b) && a[length] == b[length] {
		length++
	}
	return a[:length]
}

// At returns the key at a fraction, from 0 to below 1, of all that may be.
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

// Fraction returns how large a part of all keys that may be lies before a key.
func (k Keyspace) Fraction(key string) float64 {
	rest, isInside := strings.CutPrefix(key, k.prefix)
	if !isInside {
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

// Estimate returns how many rows a table has of which these are the first keys.
func (k Keyspace) Estimate(first []string) float64 {
	if len(first) == 0 {
		return 0
	}
	reached := k.Fraction(first[len(first)-1])
	if reached <= 0 {
		return mostEstimated
	}
	return min(float64(len(first))/reached, mostEstimated)
}

// mostEstimated stands for more rows than any table has.
const mostEstimated = 1e12
