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

// stuck is a writer that does not return until it is opened.
type stuck struct {
	open    chan struct{}
	mutex   sync.Mutex
	written bytes.Buffer
}

func (s *stuck) Write(line []byte) (int, error) {
	<-s.open
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.written.Write(line)
}

// TestLogNeverWaits: with the output stuck, writing returns, what does not fit
// is dropped and counted, and the rest comes out in order.
func TestLogNeverWaits(t *testing.T) {
	output := &stuck{open: make(chan struct{})}
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

// TestErrorsAreLoggedWithoutTheirStack: one line for an event.
func TestErrorsAreLoggedWithoutTheirStack(t *testing.T) {
	var output bytes.Buffer
	telemetry.NewLogger(&output, slog.LevelInfo, "d").Info("event", "error", errors.New("cause"))
	require.Contains(t, output.String(), "msg=event daemon=d error=cause\n")
}
