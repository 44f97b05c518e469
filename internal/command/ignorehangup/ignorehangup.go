// Package ignorehangup makes the process ignore SIGHUP from its initialization on.
// The platform sends SIGHUP when a daemon's settings change; during startup the
// default action would terminate the process. Settings are read after package
// initialization, so an ignored signal loses no change. The daemon later handles
// SIGHUP with signal.Notify. Import the package for its side effect, before packages
// that initialize slowly.
package ignorehangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
