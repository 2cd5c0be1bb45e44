// Package logging writes the log of the process without blocking its callers. If a terminal, a pipe or a disk did not
// accept a log line, a blocking log call would stop the event loop and all requests with it. Log lines are therefore
// queued for a goroutine that writes them. If the queue is full, further lines are dropped, and their number is logged
// later.
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
	// maxQueuedLines is the largest number of queued lines.
	maxQueuedLines = 4096
	// closeTimeout is how long Close waits at most for the queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to another writer from a goroutine. It is safe for concurrent use.
type Writer struct {
	out       io.Writer
	queue     chan []byte   // lines to be written
	dropped   atomic.Int64  // lines dropped since their number was last logged
	closing   chan struct{} // closed by Close
	closeOnce sync.Once
	done      chan struct{} // closed when the goroutine has ended
}

// New returns a logger and the Writer through which it writes to out. The caller must close the Writer.
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

// Write queues a line, or drops it if the queue is full. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the queued lines have been written, but no longer than closeTimeout. It may be called repeatedly.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes queued lines until the Writer is closed and the queue is empty.
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

// writeQueued writes the lines that are left in the queue.
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

// writeLine writes a line. If lines were dropped, it first logs their number. Write errors are ignored, as there is
// nowhere to report them.
func (w *Writer) writeLine(line []byte) {
	if fault.InjectedError(fault.Log) != nil {
		return
	}
	if dropped := w.dropped.Swap(0); dropped > 0 {
		fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
			time.Now().Format(time.RFC3339Nano), dropped)
	}
	w.out.Write(line)
}
