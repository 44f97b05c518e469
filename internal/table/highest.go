package table

import "sync/atomic"

// HighestVersion is the highest of the versions that it was raised to. The zero value is 0. It is
// safe for concurrent use.
type HighestVersion struct{ highest atomic.Int64 }

// Raise raises the version and reports whether it was lower before.
func (h *HighestVersion) Raise(version Version) bool {
	for {
		highest := h.highest.Load()
		if int64(version) <= highest {
			return false
		}
		if h.highest.CompareAndSwap(highest, int64(version)) {
			return true
		}
	}
}

// Load returns the version.
func (h *HighestVersion) Load() Version { return Version(h.highest.Load()) }
