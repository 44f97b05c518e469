package harness_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

const (
	// keptLogBytes bounds the daemons' log that is kept of a test.
	keptLogBytes = 4 << 20
	// shownLogLines is how many lines of it a failed test shows, the last ones.
	shownLogLines = 400
)

// keptLog keeps the end of what the daemons of one test log, and shows it if the test
// fails: a failure that is seen once can be explained afterwards.
type keptLog struct {
	mutex sync.Mutex
	text  []byte
}

// newKeptLog returns a log that belongs to a test.
func newKeptLog(t *testing.T) *keptLog {
	kept := &keptLog{}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("the daemons' log, its end:\n%s", kept.end())
		}
	})
	return kept
}

// Write implements io.Writer.
func (k *keptLog) Write(line []byte) (int, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.text = append(k.text, line...)
	if len(k.text) > keptLogBytes {
		k.text = append([]byte(nil), k.text[len(k.text)-keptLogBytes/2:]...)
	}
	return len(line), nil
}

// end returns the last lines.
func (k *keptLog) end() string {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	lines := bytes.Split(bytes.TrimSpace(k.text), []byte("\n"))
	return string(bytes.Join(lines[max(len(lines)-shownLogLines, 0):], []byte("\n")))
}

// TestKeptLogKeepsItsEnd.
func TestKeptLogKeepsItsEnd(t *testing.T) {
	kept := &keptLog{}
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	for range 3 * keptLogBytes >> 10 {
		_, _ = kept.Write(line)
	}
	_, _ = kept.Write([]byte("last\n"))
	if len(kept.text) > keptLogBytes || !strings.HasSuffix(kept.end(), "\nlast") || strings.Count(kept.end(), "\n") != shownLogLines-1 {
		t.Fatalf("%d bytes kept, %d lines shown", len(kept.text), strings.Count(kept.end(), "\n")+1)
	}
}
