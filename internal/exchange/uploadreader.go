package exchange

import "sync/atomic"

// UploadReader reads an upload from its first byte for one attempt, whose goroutine owns the reader.
type UploadReader struct {
	*Upload
	offset  int64       // offset in the body of the next byte to read
	Stopped atomic.Bool // the attempt has ended; any goroutine may set it
}

// NewUploadReader returns a reader that starts at the first byte of the upload.
func NewUploadReader(u *Upload) *UploadReader { return &UploadReader{Upload: u} }

// Read returns buffered bytes first and then waits for bytes from the client. It returns ErrUploadStopped if the attempt or
// the request has ended, ErrBodyDiscarded if the next bytes are no longer buffered, io.EOF after the last byte, and a
// ClientError if reading from the client failed.
func (r *UploadReader) Read(p []byte) (n int, err error) {
	u := r.Upload
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case r.Stopped.Load():
		return 0, ErrUploadStopped
	case r.offset == u.bytesRead:
		n, err = u.readSource(p)
	case u.Discarded.Load():
		return 0, ErrBodyDiscarded
	default:
		n = u.buffered.copyFrom(p, r.offset)
	}
	r.offset += int64(n)
	if r.Stopped.Load() { // the attempt ended during the read; another attempt may read these bytes
		return 0, ErrUploadStopped
	}
	return n, err
}

// Close does nothing, because package downstream owns the upload. It makes UploadReader an io.ReadCloser.
func (r *UploadReader) Close() error { return nil }
