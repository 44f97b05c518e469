package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"topazpulley/internal/periodic"
)

// AsyncWriter passes lines to a slower writer through a bounded queue and never blocks. Lines that
// do not fit the queue are dropped and counted.
type AsyncWriter struct {
	target  io.Writer
	limit   int
	dropped atomic.Uint64
	mutex   sync.Mutex
	pending []byte
	wake    chan struct{}
	done    chan struct{}
	closed  bool
}

// NewAsyncWriter starts a writer that queues at most limit bytes.
func NewAsyncWriter(target io.Writer, limit int) *AsyncWriter {
	writer := &AsyncWriter{target: target, limit: limit, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go writer.run()
	return writer
}

// Write queues one line. It never fails and never blocks.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mutex.Lock()
	if w.closed || len(w.pending)+len(line) > w.limit {
		w.mutex.Unlock()
		w.dropped.Add(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *AsyncWriter) Dropped() uint64 { return w.dropped.Load() }

// droppedReportInterval is the interval between two reports of dropped lines.
const droppedReportInterval = time.Second

// ReportDropped logs how many lines were dropped since the last report, until the context
// ends. A report that is dropped itself is counted in the next one.
func (w *AsyncWriter) ReportDropped(ctx context.Context, log *slog.Logger) {
	reported := uint64(0)
	periodic.Run(ctx, droppedReportInterval, func() {
		total := w.Dropped()
		if total == reported {
			return
		}
		log.Warn("log_lines_dropped", "lines", total-reported, "total", total)
		reported = total
	})
}

// Close writes the queued lines and ends the writer.
func (w *AsyncWriter) Close() {
	w.mutex.Lock()
	w.closed = true
	w.mutex.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	<-w.done
}

func (w *AsyncWriter) run() {
	defer close(w.done)
	spare := []byte{}
	for range w.wake {
		w.mutex.Lock()
		batch := w.pending
		w.pending = spare[:0]
		isClosed := w.closed
		w.mutex.Unlock()
		if len(batch) > 0 {
			_, _ = w.target.Write(batch)
		}
		spare = batch
		if isClosed {
			return
		}
	}
}
