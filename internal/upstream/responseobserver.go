package upstream

import (
	"time"

	"cindersaddle/internal/http1"
)

// unknownLengthGrace is how long it may take, after the head, to read the complete body of a response of unknown
// length. If it takes longer, the body is streamed to the client, which is waiting for the first bytes.
const unknownLengthGrace = 20 * time.Millisecond

// uploadObserver observes a response that may arrive before the request body is complete. It changes no deadline.
type uploadObserver struct {
	http1.NopResponseObserver
	attempt *Attempt
}

// ResponseStarted implements http1.ResponseObserver.
func (o uploadObserver) ResponseStarted() { o.attempt.notifyResponseStarted() }

// deadlineObserver observes a response to a complete request, and sets the deadline for reading it.
type deadlineObserver struct {
	attempt *Attempt
	conn    *endpointConn
}

// ResponseStarted implements http1.ResponseObserver.
func (o deadlineObserver) ResponseStarted() { o.attempt.notifyResponseStarted() }

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
