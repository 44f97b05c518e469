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

// reportVariable is the environment variable that makes the test binary report
// whether it ignores SIGHUP.
const reportVariable = "TOPAZPULLEY_TEST_REPORT_HANGUP"

const hangupIgnored = "hangup ignored"

// TestHangupIgnoredDuringStartup guards against SIGHUP terminating a daemon
// during startup. The test binary is started again with the default action for the
// signal, because the caller of the tests may have changed it.
func TestHangupIgnoredDuringStartup(t *testing.T) {
	if os.Getenv(reportVariable) != "" {
		if signal.Ignored(syscall.SIGHUP) {
			t.Log(hangupIgnored)
		}
		return
	}
	// A signal that a process handles is reset to its default action in child processes.
	handled := make(chan os.Signal, 1)
	signal.Notify(handled, syscall.SIGHUP)
	defer signal.Reset(syscall.SIGHUP)
	started := exec.Command(os.Args[0], "-test.run=^TestHangupIgnoredDuringStartup$", "-test.v")
	started.Env = append(os.Environ(), reportVariable+"=1")
	output, err := started.CombinedOutput()
	require.NoError(t, err, string(output))
	require.True(t, strings.Contains(string(output), hangupIgnored), string(output))
}
