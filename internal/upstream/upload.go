package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

// earlyResponseGrace is how long to wait for the response after writing the request has failed. An endpoint may respond
// early and stop reading the request.
const earlyResponseGrace = 100 * time.Millisecond

// uploadWriter writes a request whose body is still arriving from the client. It runs on its own goroutine while another
// goroutine reads the response.
//
// An attempt that was stopped counts as not executed, so its last byte must not be sent afterwards, or the request
// could be executed twice. An endpoint executes a request only when it has received the last byte. The writer therefore
// withholds that byte until all others are written and the client still waits for the response. It checks under mu that
// the upload was not stopped, and writes the byte before it unlocks mu.
type uploadWriter struct {
	source *exchange.UploadReader
	conn   *endpointConn
	sendBy time.Time     // as in Attempt
	done   chan struct{} // closed when the goroutine ends
	err    error         // why the request is incomplete; may be read after done is closed

	stopped atomic.Bool // nothing more may be written

	mu              sync.Mutex // held during each write to the endpoint; guards the fields below
	buffer          []byte     // reused by each Write; starts with the byte withheld by the previous one
	hasWithheldByte bool       // the last byte of buffer was not written yet
	lastByteSent    bool       // the last byte of the request was written
}

// newUploadWriter returns a writer that sends the upload of an attempt from its first byte.
func newUploadWriter(attempt *Attempt, conn *endpointConn) *uploadWriter {
	return &uploadWriter{
		source: exchange.NewUploadReader(attempt.Message.Upload),
		conn:   conn,
		sendBy: attempt.SendBy,
		done:   make(chan struct{}),
	}
}

// run writes the request. After the last byte is written, it calls onSent with the time just before that write.
func (w *uploadWriter) run(head []byte, onSent func(sentAt time.Time)) {
	defer close(w.done)
	err := w.writeRequest(head)
	var sentAt time.Time
	if err == nil {
		sentAt, err = w.writeLastByte()
	}
	if err == nil {
		onSent(sentAt)
		return
	}
	w.err = fmt.Errorf("write request to endpoint %s: %w", w.conn.endpoint.Name, err)
	// The endpoint may have responded already; the response may show why it stopped reading.
	w.conn.SetReadDeadline(time.Now().Add(earlyResponseGrace))
}

// uploadPieceBytes is the maximum number of bytes of a body that are read and written at a time.
const uploadPieceBytes = 8 << 10

// writeRequest writes the head and the body, in chunks if its length is unknown. The last byte is withheld.
func (w *uploadWriter) writeRequest(head []byte) error {
	if _, err := w.Write(head); err != nil {
		return err
	}
	buffer := make([]byte, uploadPieceBytes)
	if w.source.Length >= 0 {
		return w.copyBody(w, buffer)
	}
	chunks := httputil.NewChunkedWriter(w)
	if err := w.copyBody(chunks, buffer); err != nil {
		return err
	}
	if err := chunks.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n") // no trailers
	return err
}

// copyBody copies the body to a writer. It returns an error if the body has another length than declared.
func (w *uploadWriter) copyBody(to io.Writer, buffer []byte) error {
	total := int64(0)
	for {
		n, err := w.source.Read(buffer)
		total += int64(n)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return err
			}
		}
		switch {
		case err == io.EOF && w.source.Length >= 0 && total != w.source.Length:
			return io.ErrUnexpectedEOF
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// Write writes the byte withheld by the previous call and all bytes of p except the last one, which it withholds.
func (w *uploadWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.hasWithheldByte {
		w.buffer[0] = w.buffer[len(w.buffer)-1]
		w.buffer = w.buffer[:1]
	}
	w.buffer = append(w.buffer, p...)
	w.hasWithheldByte = true
	return len(p), w.writeLocked(w.buffer[:len(w.buffer)-1])
}

// writeLastByte writes the withheld byte if the client still waits for the response. It returns the time just before the
// write.
func (w *uploadWriter) writeLastByte() (sentAt time.Time, err error) {
	if err := w.source.MarkAwaitingResponse(); err != nil {
		return time.Time{}, exchange.ClientError{Err: err}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	sentAt = time.Now()
	err = w.writeLocked(w.buffer[len(w.buffer)-1:])
	w.lastByteSent = err == nil
	return sentAt, err
}

// writeLocked writes to the endpoint, which may go without accepting a byte for StallTimeout. It does not write after
// sendBy. The caller holds mu.
func (w *uploadWriter) writeLocked(p []byte) error {
	return w.conn.writeWithStallLimit(p, socket.StallLimit{
		Timeout: exchange.StallTimeout,
		Until:   w.sendBy,
		Stopped: w.stopError,
	})
}

// stopError returns ErrUploadStopped if the upload was stopped.
func (w *uploadWriter) stopError() error {
	if w.stopped.Load() {
		return exchange.ErrUploadStopped
	}
	return nil
}

// stop stops the upload and reports whether the last byte was written. If it was not, it never will be.
func (w *uploadWriter) stop() (sent bool) {
	w.source.Stopped.Store(true)
	w.stopped.Store(true)
	w.conn.SetWriteDeadline(socket.PastDeadline) // interrupts a write in progress
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastByteSent
}

// incompleteOutcome returns the outcome of an attempt whose upload was stopped before the last byte was written. err is the
// error from reading the response.
func (w *uploadWriter) incompleteOutcome(attempt *Attempt, err error) Outcome {
	if attempt.Context.Err() != nil {
		return Outcome{Result: balance.Cancelled}
	}
	if attempt.withdrawn.Load() {
		return Outcome{Result: balance.NotAttempted, Err: err}
	}
	select {
	case <-w.done:
		var clientError exchange.ClientError
		if errors.As(w.err, &clientError) {
			return Outcome{Result: balance.NotAttempted, UploadError: clientError, Err: w.err}
		}
	case <-time.After(earlyResponseGrace): // the writer still waits for the client, and ends when more of the body arrives
	}
	return Outcome{Result: balance.ConnectFailed, Err: err}
}
