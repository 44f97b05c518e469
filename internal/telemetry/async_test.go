package telemetry_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"topazpulley/internal/telemetry"
)

// blockedWriter is a writer whose Write blocks until open is closed.
type blockedWriter struct {
	open    chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.open
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// text returns what was written so far.
func (s *blockedWriter) text() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.String()
}

// TestAsyncWriterNeverBlocks: while the output blocks, Write returns, and lines that do not fit are
// dropped and counted. All others are written.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	output := &blockedWriter{open: make(chan struct{})}
	writer := telemetry.NewAsyncWriter(output, 64)
	for range 100 {
		count, err := writer.Write([]byte("0123456789abcde\n"))
		require.NoError(t, err)
		require.Equal(t, 16, count)
	}
	require.Positive(t, writer.Dropped())
	close(output.open)
	writer.Close()
	require.Equal(t, 100, int(writer.Dropped())+bytes.Count(output.written.Bytes(), []byte("\n")))
}

// TestErrorsAreLoggedWithoutStack: an event with an error must be one line.
func TestErrorsAreLoggedWithoutStack(t *testing.T) {
	var output bytes.Buffer
	telemetry.NewLogger(&output, slog.LevelInfo, "d").Info("event", "error", errors.New("cause"))
	require.Contains(t, output.String(), "msg=event daemon=d error=cause\n")
}

// TestDroppedLinesAreReportedInLog: a log that lacks lines must say so once it is written again,
// and how many it lacks; without further drops it must not be repeated.
func TestDroppedLinesAreReportedInLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		output := &blockedWriter{open: make(chan struct{})}
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
		close(output.open)
		defer lines.Close()
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, strings.Count(output.text(), "msg=log_lines_dropped daemon=d lines="), output.text())
	})
}
