package upstream

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/socket"
)

// earlyResponseGrace is how long the response of an endpoint that stopped reading the request may take.
const earlyResponseGrace = 100 * time.Millisecond

// uploadWriter writes a request whose body is still coming from the client, on a goroutine of its own, while another
// one reads the response.
//
// It guards against a request that is executed twice, because an attempt that was stopped counts as never executed while
// its last byte still leaves. An endpoint executes a request only when its last byte has come; the writer withholds that
// byte until all others are written and the client still waits for the response, and writes it under the mutex, in one step
// with the check whether the upload was stopped.
type uploadWriter struct {
	source *exchange.UploadReader
	conn   *endpointConn
	done   chan struct{} // closed when the goroutine ends
	err    error         // why the request is incomplete; to be read once done is closed

	stopped atomic.Bool // nothing more is written

	mu            sync.Mutex // locked during each write to the endpoint; guards the fields below
	buffer        []byte     // reused; starts with the byte withheld by the previous Write
	withholdsByte bool       // the last byte of buffer is not written yet
	sent          bool       // the last byte of the request was written
}

// newUploadWriter returns a writer of an upload from its first byte.
func newUploadWriter(upload *exchange.Upload, conn *endpointConn) *uploadWriter {
	return &uploadWriter{
		source: exchange.NewUploadReader(upload),
		conn:   conn,
		done:   make(chan struct{}),
	}
}

// run writes the request, and calls onSent once its last byte is written.
func (w *uploadWriter) run(request *http.Request, onSent func()) {
	defer close(w.done)
	err := request.Write(w)
	if err == nil {
		err = w.writeLastByte()
	}
	if err == nil {
		onSent()
		return
	}
	w.err = fmt.Errorf("write request to endpoint %s: %w", w.conn.endpoint.Name, err)
	// The response may have come already, and say why the endpoint stopped reading.
	w.conn.SetReadDeadline(time.Now().Add(earlyResponseGrace))
}

// Write writes all bytes but the last one, and the byte withheld by the previous call.
func (w *uploadWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.withholdsByte {
		w.buffer[0] = w.buffer[len(w.buffer)-1]
		w.buffer = w.buffer[:1]
	}
	w.buffer = append(w.buffer, p...)
	w.withholdsByte = true
	return len(p), w.writeLocked(w.buffer[:len(w.buffer)-1])
}

// writeLastByte writes the byte withheld, if the client still waits for the response.
func (w *uploadWriter) writeLastByte() error {
	if err := w.source.MarkAwaitingResponse(); err != nil {
		return exchange.ClientError{Err: err}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	err := w.writeLocked(w.buffer[len(w.buffer)-1:])
	w.sent = err == nil
	return err
}

// writeLocked writes to the endpoint, which may take StallTimeout for each write. The caller holds mu.
func (w *uploadWriter) writeLocked(p []byte) error {
	w.conn.SetWriteDeadline(time.Now().Add(exchange.StallTimeout))
	if w.stopped.Load() { // checked after the deadline is set: stop stores the flag before it ends the deadline
		return exchange.ErrNoLongerAwaited
	}
	_, err := w.conn.Write(p)
	return err
}

// stop ends the upload and reports whether the last byte was written. If not, it never will be.
func (w *uploadWriter) stop() (sent bool) {
	w.source.Stopped.Store(true)
	w.stopped.Store(true)
	w.conn.SetWriteDeadline(socket.PastDeadline) // interrupts a write in progress
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sent
}

// incompleteResult returns the result of an attempt whose response could not be read because of err, and whose upload was
// stopped before the last byte was written.
func (w *uploadWriter) incompleteResult(attempt *Attempt, err error) Ending {
	if attempt.Context.Err() != nil {
		return Ending{Result: balance.Cancelled}
	}
	select {
	case <-w.done:
		var clientError exchange.ClientError
		if errors.As(w.err, &clientError) {
			return Ending{Result: balance.NotAttempted, UploadError: clientError, Err: w.err}
		}
	case <-time.After(earlyResponseGrace): // the writer waits for the client, and ends when more of the body comes
	}
	return Ending{Result: balance.ConnectFailed, Err: err}
}
