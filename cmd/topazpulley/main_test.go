package main

import (
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHangupDoesNotEndAStartingDaemon: a soak killed all daemons and started them
// again; one got SIGHUP 130 ms later, a few milliseconds into its new life, and was
// gone without a line in its log. The signal has to be ignored before the packages
// that take long to initialize.
func TestHangupDoesNotEndAStartingDaemon(t *testing.T) {
	require.True(t, signal.Ignored(syscall.SIGHUP))
}
