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

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// TestLoggingNeverWaits checks that logging goes on while nothing accepts the lines, that those which wait are written later, and
// that the others are counted.
func TestLoggingNeverWaits(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	log, writer := New(out)
	const lines = 2 * maxQueuedLines
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		for i := range lines {
			log.Info("line", "number", i)
		}
	}()
	select {
	case <-finished:
	case <-time.After(10 * time.Second):
		t.Fatal("logging waits for the writer")
	}
	close(out.release)
	writer.Close()
	<-writer.done
	text := out.text.String()
	if written := strings.Count(text, "msg=line"); written < maxQueuedLines || written == lines {
		t.Errorf("%d of %d lines written, want those that could wait", written, lines)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("the dropped lines were not counted")
	}
}

// TestCloseWritesWaitingLines checks that the last lines of a process are not lost.
func TestCloseWritesWaitingLines(t *testing.T) {
	var out bytes.Buffer
	log, writer := New(&out)
	for range 100 {
		log.Info("line")
	}
	writer.Close()
	if written := strings.Count(out.String(), "msg=line"); written != 100 {
		t.Errorf("%d lines written, want 100", written)
	}
}
