package harness_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

const (
	// logTailBytes is the maximum size of the log kept for a test.
	logTailBytes = 4 << 20
	// logTailLines is the number of last log lines that a failed test prints.
	logTailLines = 400
)

// logTail keeps the last part of the daemons' log of one test and prints it if the test
// fails.
type logTail struct {
	mutex sync.Mutex
	text  []byte
}

// newLogTail returns a log that is printed if the test fails.
func newLogTail(t *testing.T) *logTail {
	tail := &logTail{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("last lines of the daemons' log:\n%s", tail.end())
		}
	})
	return tail
}

// Write appends a line and drops the oldest bytes above logTailBytes.
func (l *logTail) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.text = append(l.text, line...)
	if len(l.text) > logTailBytes {
		l.text = append([]byte(nil), l.text[len(l.text)-logTailBytes/2:]...)
	}
	return len(line), nil
}

// end returns the last logTailLines lines.
func (l *logTail) end() string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lines := bytes.Split(bytes.TrimSpace(l.text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-logTailLines, 0):], []byte("\n")))
}

// TestLogTailIsBounded checks that the log keeps its last lines within its size limit.
func TestLogTailIsBounded(t *testing.T) {
	tail := &logTail{}
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	for range 3 * logTailBytes >> 10 {
		_, _ = tail.Write(line)
	}
	_, _ = tail.Write([]byte("last\n"))
	if len(tail.text) > logTailBytes || !strings.HasSuffix(tail.end(), "\nlast") || strings.Count(tail.end(), "\n") != logTailLines-1 {
		t.Fatalf("%d bytes kept, %d lines shown", len(tail.text), strings.Count(tail.end(), "\n")+1)
	}
}
