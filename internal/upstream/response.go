package upstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
)

// unknownLengthGrace is how long the body of a response of unknown length may take, from its head on, to be read
// completely. A slower one is streamed to the client, which waits for its first bytes.
const unknownLengthGrace = 20 * time.Millisecond

// serverResponse is a response as read from a connection.
type serverResponse struct {
	head      *http.Response
	body      []byte // complete, or the first bytes of a streamed one
	streaming bool   // the rest of the body is still to be read from head.Body
}

// forClient returns the response as it goes to the client, with the body that was read.
func (r serverResponse) forClient() *exchange.Response {
	return &exchange.Response{Status: http.StatusOK, Header: r.head.Header, Body: r.body}
}

// forStreaming returns the response as it goes to the client, with a body that is read from the connection.
func (r serverResponse) forStreaming(attempt *Attempt, conn *serverConn) *exchange.Response {
	download := &exchange.Download{
		FirstBytes:     r.body,
		Body:           r.head.Body,
		Length:         r.head.ContentLength,
		Cancel:         attempt.Cancel,
		Done:           make(chan error, 1),
		ExtendDeadline: func() { attempt.setReadDeadline(conn, time.Now().Add(exchange.StallTimeout)) },
	}
	return &exchange.Response{Status: http.StatusOK, Header: r.head.Header, Download: download}
}

// stream lets the client read the response from the connection, and returns how that ended.
func stream(attempt *Attempt, conn *serverConn, response serverResponse) error {
	streamed := response.forStreaming(attempt, conn)
	attempt.Observer.StreamStarted(attempt, streamed, time.Now())
	select {
	case err := <-streamed.Download.Done:
		return err
	case <-attempt.LoopDone: // the response may never be read
		return exchange.ErrClientStopped
	}
}

// uploadObserver follows a response while the request body may still be on its way: it has no deadline to change.
type uploadObserver struct{ *Attempt }

// ResponseStarted implements http1.ResponseObserver.
func (o uploadObserver) ResponseStarted() { o.Observer.ResponseStarted(o.Attempt, time.Now()) }

// ShortenDeadline implements http1.ResponseObserver.
func (uploadObserver) ShortenDeadline() {}

// ShortenedDeadlineExpired implements http1.ResponseObserver.
func (uploadObserver) ShortenedDeadlineExpired() bool { return false }

// RestoreDeadline implements http1.ResponseObserver.
func (uploadObserver) RestoreDeadline() {}

// deadlineObserver follows a response to a complete request.
type deadlineObserver struct {
	*Attempt
	conn *serverConn
}

// ResponseStarted implements http1.ResponseObserver.
func (o deadlineObserver) ResponseStarted() { o.Observer.ResponseStarted(o.Attempt, time.Now()) }

// ShortenDeadline implements http1.ResponseObserver.
func (o deadlineObserver) ShortenDeadline() {
	o.setReadDeadline(o.conn, earlier(o.Deadline, time.Now().Add(unknownLengthGrace)))
}

// ShortenedDeadlineExpired implements http1.ResponseObserver.
func (o deadlineObserver) ShortenedDeadlineExpired() bool {
	return !o.obsolete() && time.Now().Before(o.Deadline)
}

// RestoreDeadline implements http1.ResponseObserver.
func (o deadlineObserver) RestoreDeadline() { o.setReadDeadline(o.conn, o.Deadline) }
