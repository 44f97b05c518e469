package telemetry_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"topazpulley/internal/telemetry"
)

// gatedWriter blocks writes until it is opened.
type gatedWriter struct {
	gate   chan struct{}
	mutex  sync.Mutex
	target strings.Builder
}

func (w *gatedWriter) Write(line []byte) (int, error) {
	<-w.gate
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.target.Write(line)
}

func (w *gatedWriter) text() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.target.String()
}

// TestDroppedLinesAreReportedInLog: a log that lacks lines must say so once it is written again,
// and how many it lacks; without further drops it must not be repeated.
func TestDroppedLinesAreReportedInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &gatedWriter{gate: make(chan struct{})}
		lines := telemetry.NewAsyncWriter(output, 200)
		log := telemetry.NewLogger(lines, 0, "d")
		go lines.ReportDropped(t.Context(), log)
		for range 50 {
			synctest.Wait() // the writer has taken the first line and blocks
			_, _ = io.WriteString(lines, "0123456789abcde\n")
		}
		dropped := lines.Dropped()
		require.Positive(t, dropped)
		time.Sleep(1500 * time.Millisecond)
		require.Greater(t, lines.Dropped(), dropped, "the report fits a full queue")
		close(output.gate)
		defer lines.Close()
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, strings.Count(output.text(), "msg=log_lines_dropped daemon=d lines="), output.text())
	})
}
