// Package logging writes the log of the process. It guards against an event loop that stops, and with it all requests,
// because a terminal, a pipe or a disk does not accept a log line: a line is handed to a goroutine that writes it, whoever logs
// never waits. A bounded number of lines waits meanwhile; further ones are dropped, and their number is logged later.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/internal/fault"
)

const (
	// maxQueuedLines is how many lines wait at most.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits for the lines that have not been written.
	closeTimeout = 200 * time.Millisecond
)

// Writer writes lines to another writer without waiting for it. Any goroutine may call its methods.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	closing chan struct{}
	closeOnce  sync.Once
	done    chan struct{} // closed when the goroutine has ended
}

// New returns a logger and the writer behind it, which the caller closes.
func New(out io.Writer) (*slog.Logger, *Writer) {
	w := &Writer{
		out:     out,
		queue:   make(chan []byte, maxQueuedLines),
		closing: make(chan struct{}),
		done:    make(chan struct{}),
	}
	go w.run()
	return slog.New(slog.NewTextHandler(w, nil)), w
}

// Write hands over a line, or drops it if too many wait. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the lines that wait are written, for closeTimeout at most.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes lines until the writer is closed and none waits.
func (w *Writer) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-w.closing:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the lines that wait.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, and before it how many were dropped. A line that cannot be written is lost: there is nowhere to
// report that.
func (w *Writer) writeLine(line []byte) {
	if fault.Injected(fault.Log) != nil {
		return
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", time.Now().Format(time.RFC3339Nano), dropped)
	}
	w.out.Write(line)
}
