package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestLogCallsDoNotBlock checks that log calls do not block while the output does, that the queued lines are written
// later, and that the number of dropped lines is logged.
func TestLogCallsDoNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, writer := New(out)
	const lines = 2 * maxQueuedLines
	const timeout = 10 * time.Second
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i := range lines {
			log.Info("line", "number", i)
		}
	}()
	select {
	case <-finished:
	case <-time.After(timeout):
		t.Fatalf("logging %d lines did not finish within %v, want it not to wait for the output", lines, timeout)
	}
	close(out.release)
	writer.Close()
	<-writer.done
	text := out.text.String()
	if written := strings.Count(text, "msg=line"); written < maxQueuedLines || written == lines {
		t.Errorf("got %d of %d lines written, want at least the %d that fit into the queue, but not all",
			written, lines, maxQueuedLines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("got no line \"log lines dropped\", want one with the number of dropped lines")
	}
}

// TestCloseWritesQueuedLines checks that Close writes the queued lines, so that the last lines of a process are not
// lost.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	log, writer := New(&out)
	for range 100 {
		log.Info("line")
	}
	writer.Close()
	if written := strings.Count(out.String(), "msg=line"); written != 100 {
		t.Errorf("got %d lines written, want 100", written)
	}
}
