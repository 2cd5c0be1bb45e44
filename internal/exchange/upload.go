package exchange

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// StallTimeout is how long a peer may neither send nor accept a byte of a long body. Slow peers pause for seconds; one that
	// hangs must not occupy its connection for ever.
	StallTimeout = 5 * time.Second
	// expiredTimeout is a read timeout that ends a read in progress.
	expiredTimeout time.Duration = -1
)

var (
	// ErrBodyDiscarded is the error for an attempt that needs bytes of the body that are not buffered any more.
	ErrBodyDiscarded = errors.New("body bytes needed for another attempt are no longer buffered")
	// ErrNoLongerAwaited is the error for a request or an attempt that has ended, or whose response is decided: no more of
	// its body is read or sent.
	ErrNoLongerAwaited = errors.New("request is no longer waited for")
)

// ClientError is an error from reading a body that its client did not send to the end.
type ClientError struct{ Err error }

// Error returns the text of the cause.
func (e ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e ClientError) Unwrap() error { return e.Err }

// Upload is a request body that is too long to be buffered: it is copied from the client to an endpoint as fast as both
// allow. The bytes that were read are buffered while the budget allows, so that another attempt can be made. The client
// side creates it; attempts read it through an UploadReader each, and the flags may be read by any goroutine.
type Upload struct {
	Length         int64               // length in bytes as the client declared it; -1: chunked
	Source         io.Reader           // the client's connection
	SetReadTimeout func(time.Duration) // sets how long the client may take for the next bytes
	// MarkAwaitingResponse records that the request is complete; an error if its client does not wait for a response.
	MarkAwaitingResponse func() error
	Budget               *BufferBudget // what the buffer counts against
	Discarded            atomic.Bool   // the bytes that were read are not buffered
	Received             atomic.Bool   // the last byte was read from the client
	clock                readClock

	mu        sync.Mutex // guards the fields below
	buffered  []byte     // the bytes that were read, unless Discarded
	reserved  int        // bytes taken from Budget
	bytesRead int64      // bytes read from Source
	err       error      // how reading ended; io.EOF: with the last byte
}

// SetFirstBytes records that the client side has read the first bytes of the body from Source. They do not count against
// Budget. It must be called before the first attempt reads.
func (u *Upload) SetFirstBytes(first []byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.buffered = first
	u.bytesRead = int64(len(first))
}

// Release frees the buffer. Nothing more is read; a reader that waits for the client returns with an error. The client side
// calls it when the request has ended.
func (u *Upload) Release() {
	if !u.Received.Load() {
		u.SetReadTimeout(expiredTimeout) // releases mu, which a waiting reader holds
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = ErrNoLongerAwaited
	u.discardBuffer()
}

// MarkReceived records that the last byte was read from the client, at a moment.
func (u *Upload) MarkReceived(at time.Time) {
	u.clock.received(at)
	u.Received.Store(true)
}

// PauseReading records that nobody reads from a moment on.
func (u *Upload) PauseReading(from time.Time) { u.clock.pause(from) }

// ResumeReading adds the time since which nobody reads to what SinceLastByte returns. It is called when reading is to go on.
func (u *Upload) ResumeReading() {
	if !u.Received.Load() {
		u.clock.countPause(time.Now())
	}
}

// SinceLastByte returns how long ago the last byte can have arrived. While it has not been read, that is the time in which
// nobody read, as it may have arrived then.
func (u *Upload) SinceLastByte() time.Duration { return u.clock.sinceLastByte() }

// readSource reads the next bytes from the client. The caller holds mu.
func (u *Upload) readSource(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	u.SetReadTimeout(StallTimeout)
	u.clock.read()
	n, err := u.Source.Read(p)
	u.clock.pause(time.Now())
	u.bytesRead += int64(n)
	u.buffer(p[:n])
	if err == io.EOF {
		u.MarkReceived(time.Now())
	}
	if err != nil && err != io.EOF {
		err = ClientError{err}
	}
	u.err = err
	return n, err
}
