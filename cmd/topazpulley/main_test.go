package main

import (
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// reportHangup is the variable that has the test's own program tell whether it
// ignores SIGHUP.
const reportHangup = "TOPAZPULLEY_TEST_REPORT_HANGUP"

const hangupIgnored = "hangup ignored"

// TestHangupDoesNotEndAStartingDaemon: a soak killed all daemons and started them
// again; one got SIGHUP 130 ms later, a few milliseconds into its new life, and was
// gone without a line in its log. The signal has to be ignored before the packages
// that take long to initialize. The program is started anew with the signal's
// default, which whoever runs the tests may have changed.
func TestHangupDoesNotEndAStartingDaemon(t *testing.T) {
	if os.Getenv(reportHangup) != "" {
		if signal.Ignored(syscall.SIGHUP) {
			t.Log(hangupIgnored)
		}
		return
	}
	// A signal that a process handles has its default in the programs that it starts.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	started := exec.Command(os.Args[0], "-test.run=^TestHangupDoesNotEndAStartingDaemon$", "-test.v")
	started.Env = append(os.Environ(), reportHangup+"=1")
	output, err := started.CombinedOutput()
	require.NoError(t, err, string(output))
	require.True(t, strings.Contains(string(output), hangupIgnored), string(output))
}
