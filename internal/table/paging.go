package table

import (
	"slices"
	"strings"
	"unicode/utf8"
)

// errNoProgress means that a store announced further rows or names, but not after which one.
var errNoProgress = &Error{Kind: ErrorNotDone, Call: "read_further"}

// replacement is what answers contain in place of a byte that is no text.
const replacement = string(utf8.RuneError)

// Next returns the smallest key to continue a read from that began at a key, and false if the page
// is the last. Each key is greater than the one before, so that a read ends whatever the keys are.
func (p Page) Next(from string) (next string, more bool, err error) {
	if !p.More {
		return "", false, nil
	}
	isWhole := func(key string) bool { return !strings.Contains(key, replacement) }
	isAny := func(string) bool { return true }
	for _, isUsable := range []func(string) bool{isWhole, isAny} {
		for _, row := range slices.Backward(p.Rows) {
			if next := row.Key + "\x00"; next > from && isUsable(row.Key) {
				return next, true, nil
			}
		}
	}
	return p.nextDamaged(from)
}

// nextDamaged continues after the last key if all keys of the page are damaged. The stored key is
// not greater than the one returned, as no byte is.
func (p Page) nextDamaged(from string) (next string, more bool, err error) {
	if len(p.Rows) == 0 {
		return "", false, errNoProgress
	}
	last := p.Rows[len(p.Rows)-1].Key
	next = strings.ReplaceAll(last, replacement, "\xff") + "\x00"
	if next <= from {
		return "", false, errNoProgress
	}
	return next, true, nil
}

// NextName returns the name to continue a list after, that began after a name, and false if the
// page is the last.
func NextName(page []string, more bool, after string) (next string, hasMore bool, err error) {
	if !more {
		return "", false, nil
	}
	if len(page) == 0 || page[len(page)-1] <= after {
		return "", false, errNoProgress
	}
	return page[len(page)-1], true, nil
}
