package telemetry_test

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"

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
