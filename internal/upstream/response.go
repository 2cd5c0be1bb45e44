package upstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

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
		return exchange.ErrDownloadStopped
	}
}
