package upstream

import (
	"time"

	"cindersaddle/internal/http1"
)

// unknownLengthGrace is how long the body of a response of unknown length may take, from its head on, to be read
// completely. A slower one is streamed to the client, which waits for its first bytes.
const unknownLengthGrace = 20 * time.Millisecond

// uploadObserver follows a response while the request body may still be on its way: it has no deadline to change.
type uploadObserver struct {
	http1.IgnoreProgress
	attempt *Attempt
}

// ResponseStarted implements http1.ResponseObserver.
func (o uploadObserver) ResponseStarted() { o.attempt.responseStarted() }

// deadlineObserver follows a response to a complete request.
type deadlineObserver struct {
	attempt *Attempt
	conn    *endpointConn
}

// ResponseStarted implements http1.ResponseObserver.
func (o deadlineObserver) ResponseStarted() { o.attempt.responseStarted() }

// ShortenDeadline implements http1.ResponseObserver.
func (o deadlineObserver) ShortenDeadline() {
	o.attempt.setReadDeadline(o.conn, earlier(o.attempt.Deadline, time.Now().Add(unknownLengthGrace)))
}

// ShortenedDeadlineExpired implements http1.ResponseObserver.
func (o deadlineObserver) ShortenedDeadlineExpired() bool {
	return !o.attempt.obsolete() && !o.attempt.expired()
}

// RestoreDeadline implements http1.ResponseObserver.
func (o deadlineObserver) RestoreDeadline() { o.attempt.setReadDeadline(o.conn, o.attempt.Deadline) }
