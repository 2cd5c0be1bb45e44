package upstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// unknownLengthGrace is how long the body of a response of unknown length may take, from its head on, to be read
// completely. A slower one is streamed to the client, which waits for its first bytes.
const unknownLengthGrace = 20 * time.Millisecond

// forClient returns a response as it goes to the client, with the body that was read.
func forClient(response http1.Response) *exchange.Response {
	return &exchange.Response{Status: http.StatusOK, Header: response.Head.Header, Body: response.Body}
}

// forStreaming returns a response as it goes to the client, with a body that is read from the connection.
func forStreaming(response http1.Response, attempt *Attempt, conn *endpointConn) *exchange.Response {
	download := &exchange.Download{
		FirstBytes:     response.Body,
		Body:           response.Head.Body,
		Length:         response.Head.ContentLength,
		Cancel:         attempt.Cancel,
		Done:           make(chan error, 1),
		ExtendDeadline: func() { attempt.setReadDeadline(conn, time.Now().Add(exchange.StallTimeout)) },
	}
	return &exchange.Response{Status: http.StatusOK, Header: response.Head.Header, Download: download}
}

// stream lets the client read the response from the connection, and returns how that ended.
func stream(attempt *Attempt, conn *endpointConn, response http1.Response) error {
	streamed := forStreaming(response, attempt, conn)
	attempt.Observer.StreamStarted(attempt, streamed, time.Now())
	select {
	case err := <-streamed.Download.Done:
		return err
	case <-attempt.LoopDone: // nobody may read the response any more
		return exchange.ErrClientStopped
	}
}

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
