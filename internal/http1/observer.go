package http1

// ResponseObserver is notified of the progress of a response. The goroutine that calls ResponseReader.Next calls its
// methods.
type ResponseObserver interface {
	// ResponseStarted is called when the head of a response with status 200 has arrived, but not its complete body.
	ResponseStarted()
	// ReserveBody reserves memory for more bytes of the body. If it returns false, the body is streamed instead of buffered.
	ReserveBody(bytes int) bool
	// ShortenDeadline is called before a read that should finish soon. It sets a shorter read deadline.
	ShortenDeadline()
	// ShortenedDeadlineExpired is called after a read that ended with an expired deadline, and reports whether that
	// was the deadline of ShortenDeadline. A cancellation and the usual deadline end a read with the same error, but
	// then the rest of the response is no longer needed.
	ShortenedDeadlineExpired() bool
	// RestoreDeadline is called after the read that follows ShortenDeadline, and may be called again later. It sets the
	// usual deadline again.
	RestoreDeadline()
}

// NopResponseObserver is a ResponseObserver that does nothing.
type NopResponseObserver struct{}

// ResponseStarted does nothing.
func (NopResponseObserver) ResponseStarted() {}

// ReserveBody returns true.
func (NopResponseObserver) ReserveBody(int) bool { return true }

// ShortenDeadline does nothing.
func (NopResponseObserver) ShortenDeadline() {}

// ShortenedDeadlineExpired returns false, because ShortenDeadline sets no deadline.
func (NopResponseObserver) ShortenedDeadlineExpired() bool { return false }

// RestoreDeadline does nothing.
func (NopResponseObserver) RestoreDeadline() {}
