package exchange

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"cindersaddle/internal/memory"
)

const (
	// StallTimeout is how long a client may go without sending a byte of a streamed request body, and an endpoint without
	// accepting one. Slow peers pause for seconds; a peer that hangs must not occupy its connection forever.
	StallTimeout = 5 * time.Second
	// expiredTimeout is a read timeout that interrupts a read in progress.
	expiredTimeout time.Duration = -1
)

var (
	// ErrBodyDiscarded means that an attempt needs bytes of the body that are no longer buffered.
	ErrBodyDiscarded = errors.New("body bytes needed for another attempt are no longer buffered")
	// ErrUploadStopped means that no more of a body is read or sent, because its request or attempt has ended or the
	// response has already been decided.
	ErrUploadStopped = errors.New("request is no longer waited for")
)

// ClientError reports that a client did not send its request body completely, or does not wait for the response.
type ClientError struct{ Err error }

// Error returns the text of the cause.
func (e ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e ClientError) Unwrap() error { return e.Err }

// Upload is a request body that is too long to be buffered completely. It is copied from the client to an endpoint as
// fast as both allow. The bytes read so far are buffered while the budget allows, so that another attempt can send them
// again. Package downstream creates the Upload, and each attempt reads it through its own UploadReader. Any goroutine
// may read Discarded and Received.
type Upload struct {
	Length         int64               // length in bytes as declared by the client, or http1.UnknownLength
	Source         io.Reader           // the client's connection
	SetReadTimeout func(time.Duration) // sets how long the client may take for the next bytes
	// MarkAwaitingResponse records that the request is complete. It returns an error if the client does not wait for a
	// response.
	MarkAwaitingResponse func() error
	Budget               *ReplayBudget       // budget that the buffered bytes count against
	Memory               *memory.Reservation // of the request; the buffered bytes count against it, too
	Discarded            atomic.Bool         // the bytes read so far are no longer buffered
	Received             atomic.Bool         // the last byte was read from the client
	// Arrival determines when the client may have written the last byte. Package downstream updates it.
	Arrival ArrivalClock
	// ObserveArrival updates Arrival with what has arrived by now; nil if nothing is known about that.
	ObserveArrival func()

	mu        sync.Mutex   // guards the fields below
	buffered  replayBuffer // the bytes read so far, unless Discarded
	reserved  int          // bytes taken from Budget
	bytesRead int64        // bytes read from Source
	err       error        // why reading ended; io.EOF after the last byte
}

// SetFirstBytes records the first bytes of the body, which package downstream has already read from Source. They do not
// count against Budget. It must be called before the first attempt reads.
func (u *Upload) SetFirstBytes(first []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.buffered = replayBuffer{first: first, length: len(first)}
	u.bytesRead = int64(len(first))
}

// Release frees the buffer and ends reading: a reader that waits for the client returns with an error. Package
// downstream calls it when the request has ended.
func (u *Upload) Release() {
	if !u.Received.Load() {
		u.SetReadTimeout(expiredTimeout) // interrupts a reader that waits for the client and holds mu
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = ErrUploadStopped
	u.discardBuffer()
}

// SinceLastByte returns how long ago the client may have written the last byte, at most.
func (u *Upload) SinceLastByte() time.Duration { return time.Since(u.EarliestLastByte()) }

// EarliestLastByte returns when the client may have written the last byte, at the earliest.
func (u *Upload) EarliestLastByte() time.Time {
	if u.ObserveArrival != nil {
		u.ObserveArrival()
	}
	return u.Arrival.EarliestLastByte()
}

// readSource reads the next bytes from the client. The caller holds mu.
func (u *Upload) readSource(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	u.SetReadTimeout(StallTimeout)
	n, err := u.Source.Read(p)
	u.bytesRead += int64(n)
	u.bufferForReplay(p[:n])
	if err == io.EOF {
		u.Arrival.Complete()
		u.Received.Store(true)
	}
	if err != nil && err != io.EOF {
		err = ClientError{err}
	}
	u.err = err
	return n, err
}
