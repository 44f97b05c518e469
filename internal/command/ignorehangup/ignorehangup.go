// Package ignorehangup has a program that is starting ignore SIGHUP, which would end
// it. The platform sends one when a daemon's settings change, also to a daemon that
// has just been started: in the first 5 to 10 ms, while packages are initialized, it
// ended the process (6 of 6 at 5 ms, 2 of 6 at 10 ms). Settings are read after that,
// so nothing is missed. Whoever handles the signal later asks for it anew.
package ignorehangup

import (
	"os/signal"
	"syscall"
)

func init() { signal.Ignore(syscall.SIGHUP) }
