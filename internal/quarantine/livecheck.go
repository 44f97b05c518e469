package quarantine

import (
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// LiveCheckTimeout is the timeout of the check whether a backend's process has exited. If it
// has, the machine refuses connections within a round trip; a timeout is inconclusive.
const LiveCheckTimeout = 500 * time.Millisecond

// IndicatesExit reports whether a connection error shows that the backend's process has
// exited: the connection was refused.
func IndicatesExit(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
