package exchange

import (
	"errors"
	"io"
	"math"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// StallTimeout is how long a peer may neither send nor accept a byte of a long body. Slow peers pause for seconds; one that
	// hangs must not keep its connection for ever.
	StallTimeout = 5 * time.Second
	// MaxReplayBytes is how many bytes of one upload are kept for another attempt.
	MaxReplayBytes = 1 << 20
	// replayMemoryDivisor is the part of the memory limit, one in so many bytes, that all uploads together may keep.
	replayMemoryDivisor = 8
	// bytesPerMegabyte converts the memory limit of the configuration.
	bytesPerMegabyte = 1 << 20
)

var (
	// ErrBodyDiscarded is the error for an attempt that needs bytes of the body that are not kept any more.
	ErrBodyDiscarded = errors.New("body bytes needed for another attempt are no longer buffered")
	// ErrAbandoned is the error for a read on behalf of a request or an attempt that has ended.
	ErrAbandoned = errors.New("request is no longer waited for")
)

// BufferBudget is the number of bytes that all uploads together may still keep. It is safe for concurrent use.
type BufferBudget struct{ Remaining atomic.Int64 }

// reserve takes n bytes from the budget and reports whether there were as many.
func (b *BufferBudget) reserve(n int) bool {
	if b.Remaining.Add(-int64(n)) >= 0 {
		return true
	}
	b.Remaining.Add(int64(n))
	return false
}

// ReplayBufferBytes returns the budget in bytes for a memory limit in megabytes; 0 or less: there is no limit.
func ReplayBufferBytes(memoryMB float64) int64 {
	if memoryMB <= 0 {
		return math.MaxInt32
	}
	return int64(memoryMB * bytesPerMegabyte / replayMemoryDivisor)
}

// ClientError is an error from reading a body that its client did not send to the end.
type ClientError struct{ Err error }

// Error returns the text of the cause.
func (e ClientError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e ClientError) Unwrap() error { return e.Err }

// Upload is a request body that is too long to be buffered: it is copied from the client to a server as fast as both go.
// The bytes that were read are kept while the budget allows, so that another attempt can be made. The client side creates
// it; attempts read it through an UploadReader each, and the flags may be read by any goroutine.
type Upload struct {
	Length         int64               // length in bytes as the client declared it; -1: chunked
	Source         io.Reader           // the client's connection
	SetReadTimeout func(time.Duration) // sets how long the client may take for the next bytes
	AwaitResponse  func() error        // marks the request as complete; an error if its client does not wait for a response
	Budget         *BufferBudget       // what Buffered counts against
	Discarded      atomic.Bool         // Buffered does not have all bytes that were read
	Complete       atomic.Bool         // the last byte was read
	completedAt    atomic.Pointer[time.Time]
	pausedAt       atomic.Pointer[time.Time] // since when nobody reads; nil: somebody does
	paused         atomic.Int64              // how long nobody has read, in nanoseconds

	mu        sync.Mutex // guards the fields below while attempts run
	Buffered  []byte     // the bytes that were read, unless Discarded
	reserved  int        // bytes taken from Budget
	BytesRead int64      // bytes read from Source
	err       error      // how reading ended; io.EOF: with the last byte
}

// Release frees the buffer. Nothing more is read; a reader that waits for the client returns with an error. The client side
// calls it when the request has ended.
func (u *Upload) Release() {
	if !u.Complete.Load() {
		u.SetReadTimeout(-1) // wakes a reader
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.err = ErrAbandoned
	u.discard()
}

// MarkComplete records that the last byte was read, at a moment.
func (u *Upload) MarkComplete(at time.Time) {
	u.completedAt.Store(&at)
	u.Complete.Store(true)
}

// PauseReading records that nobody reads from a moment on.
func (u *Upload) PauseReading(from time.Time) { u.pausedAt.Store(&from) }

// ResumeReading adds the time since which nobody reads to what SinceLastByte returns. It is called when reading is to go on.
func (u *Upload) ResumeReading() {
	from := u.pausedAt.Load()
	if from == nil || u.Complete.Load() {
		return
	}
	now := time.Now()
	u.paused.Add(int64(now.Sub(*from)))
	u.PauseReading(now)
}

// SinceLastByte returns how long ago the last byte can have come. While it has not been read, that is the time in which nobody
// read, as it may have come then.
func (u *Upload) SinceLastByte() time.Duration {
	since := time.Duration(u.paused.Load())
	if at := u.completedAt.Load(); at != nil {
		since += time.Since(*at)
	}
	return since
}

// discard frees the buffer. The caller must have locked mu.
func (u *Upload) discard() {
	u.Discarded.Store(true)
	u.Buffered = nil
	u.Budget.Remaining.Add(int64(u.reserved))
	u.reserved = 0
}

// readSource reads the next bytes from the client. The caller must have locked mu.
func (u *Upload) readSource(p []byte) (int, error) {
	if u.err != nil {
		return 0, u.err
	}
	u.SetReadTimeout(StallTimeout)
	u.pausedAt.Store(nil)
	n, err := u.Source.Read(p)
	u.PauseReading(time.Now())
	u.BytesRead += int64(n)
	u.buffer(p[:n])
	if err == io.EOF {
		u.MarkComplete(time.Now())
	}
	if err != nil && err != io.EOF {
		err = ClientError{err}
	}
	u.err = err
	return n, err
}

// buffer keeps bytes for another attempt, or frees the buffer if there is no room for them. The caller must have locked mu.
func (u *Upload) buffer(p []byte) {
	if u.Discarded.Load() || len(p) == 0 {
		return
	}
	if len(u.Buffered)+len(p) > MaxReplayBytes || !u.Budget.reserve(len(p)) {
		u.discard()
		return
	}
	u.Buffered = append(u.Buffered, p...)
	u.reserved += len(p)
}

// UploadReader reads an upload from its first byte on behalf of one attempt, whose goroutine owns it.
type UploadReader struct {
	*Upload
	offset  int64       // of the next byte
	Stopped atomic.Bool // the attempt has ended; may be set by any goroutine
}

// NewUploadReader returns a reader of the upload from its first byte.
func NewUploadReader(u *Upload) *UploadReader { return &UploadReader{Upload: u} }

// Read returns buffered bytes first and waits for the client after these. Its errors are ErrAbandoned, ErrBodyDiscarded,
// io.EOF after the last byte, and ClientError.
func (r *UploadReader) Read(p []byte) (n int, err error) {
	u := r.Upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case r.Stopped.Load():
		return 0, ErrAbandoned
	case r.offset == u.BytesRead:
		n, err = u.readSource(p)
	case u.Discarded.Load():
		return 0, ErrBodyDiscarded
	default:
		n = copy(p, u.Buffered[r.offset:])
	}
	r.offset += int64(n)
	if r.Stopped.Load() { // ended during the read: the bytes are for another attempt
		return 0, ErrAbandoned
	}
	return n, err
}

// Close does nothing: the upload belongs to the client side. It makes the reader an io.ReadCloser.
func (r *UploadReader) Close() error { return nil }
