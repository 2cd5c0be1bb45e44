package exchange

import "sync/atomic"

// UploadReader reads an upload from its first byte on behalf of one attempt, whose goroutine owns it.
type UploadReader struct {
	*Upload
	offset  int64       // of the next byte
	Stopped atomic.Bool // the attempt has ended; may be set by any goroutine
}

// NewUploadReader returns a reader of the upload from its first byte.
func NewUploadReader(u *Upload) *UploadReader { return &UploadReader{Upload: u} }

// Read returns buffered bytes first and waits for the client after these. Its errors are ErrNoLongerAwaited, ErrBodyDiscarded,
// io.EOF after the last byte, and ClientError.
func (r *UploadReader) Read(p []byte) (n int, err error) {
	u := r.Upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case r.Stopped.Load():
		return 0, ErrNoLongerAwaited
	case r.offset == u.bytesRead:
		n, err = u.readSource(p)
	case u.Discarded.Load():
		return 0, ErrBodyDiscarded
	default:
		n = copy(p, u.buffered[r.offset:])
	}
	r.offset += int64(n)
	if r.Stopped.Load() { // ended during the read: the bytes are for another attempt
		return 0, ErrNoLongerAwaited
	}
	return n, err
}

// Close does nothing: the upload belongs to the client side. It makes the reader an io.ReadCloser.
func (r *UploadReader) Close() error { return nil }
