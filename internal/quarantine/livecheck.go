package quarantine

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LiveCheckTimeout bounds the question whether a backend has ended. Where a process
// has ended, its machine refuses connections within a round trip; silence tells
// nothing.
const LiveCheckTimeout = 500 * time.Millisecond

// IndicatesExit reports whether the failure to connect to a backend tells that its
// process has ended: its machine answers that nothing listens there.
func IndicatesExit(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
