package http1

// ResponseObserver is notified of the progress of a response. Its methods are called by the goroutine that calls
// ResponseReader.Next.
type ResponseObserver interface {
	// ResponseStarted is called when the head of a response with status 200 has arrived, but not its complete body.
	ResponseStarted()
	// ShortenDeadline is called before bytes are read that have to arrive soon.
	ShortenDeadline()
	// ShortenedDeadlineExpired reports, after a read ended by a deadline, whether that was the one of ShortenDeadline. A
	// cancellation and the usual deadline end reads in the same way, but then nobody waits for the rest of the response.
	ShortenedDeadlineExpired() bool
	// RestoreDeadline is called after ShortenDeadline when the usual deadline applies again.
	RestoreDeadline()
}

// IgnoreProgress is a ResponseObserver that does nothing.
type IgnoreProgress struct{}

// ResponseStarted does nothing.
func (IgnoreProgress) ResponseStarted() {}

// ShortenDeadline does nothing.
func (IgnoreProgress) ShortenDeadline() {}

// ShortenedDeadlineExpired returns false: no deadline is shortened.
func (IgnoreProgress) ShortenedDeadlineExpired() bool { return false }

// RestoreDeadline does nothing.
func (IgnoreProgress) RestoreDeadline() {}
