package upstream

import (
	"time"

	"cindersaddle/internal/memory"
)

// unknownLengthGrace is how long it may take, after the head, to read the complete body of a response of unknown
// length. If it takes longer, the body is streamed to the client, which is waiting for the first bytes.
const unknownLengthGrace = 20 * time.Millisecond

// deadlineObserver observes a response and sets the deadline for reading it.
type deadlineObserver struct {
	attempt *Attempt
	conn    *endpointConn
}

// ResponseStarted implements http1.ResponseObserver.
func (o deadlineObserver) ResponseStarted() { o.attempt.notifyResponseStarted() }

// ReserveBody implements http1.ResponseObserver.
func (o deadlineObserver) ReserveBody(bytes int) bool {
	return o.attempt.Message.Memory.Grow(memory.Responses, bytes)
}

// ShortenDeadline implements http1.ResponseObserver.
func (o deadlineObserver) ShortenDeadline() {
	o.attempt.setReadDeadline(o.conn, earlier(o.attempt.responseDeadline(), time.Now().Add(unknownLengthGrace)))
}

// ShortenedDeadlineExpired implements http1.ResponseObserver.
func (o deadlineObserver) ShortenedDeadlineExpired() bool {
	return !o.attempt.obsolete() && time.Now().Before(o.attempt.responseDeadline())
}

// RestoreDeadline implements http1.ResponseObserver.
func (o deadlineObserver) RestoreDeadline() {
	o.attempt.setReadDeadline(o.conn, o.attempt.responseDeadline())
}
