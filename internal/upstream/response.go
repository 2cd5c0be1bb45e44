package upstream

import (
	"net/http"
	"time"

	"cindersaddle/internal/exchange"
	"cindersaddle/internal/http1"
)

// bufferedResponse returns the response for the client, with the body that was read completely.
func bufferedResponse(response http1.Response) *exchange.Response {
	return &exchange.Response{Status: http.StatusOK, Header: response.Head.Header, Body: response.Body}
}

// streamedResponse returns the response for the client, with a Download that reads the rest of the body from the
// connection.
func streamedResponse(observer *attemptObserver, response http1.Response) *exchange.Response {
	download := &exchange.Download{
		FirstBytes: response.Body,
		Body:       newStreamedBody(observer, response),
		Length:     response.Head.ContentLength,
		Cancel:     observer.attempt.Cancel,
		Done:       make(chan error, 1),
	}
	return &exchange.Response{Status: http.StatusOK, Header: response.Head.Header, Download: download}
}

// streamToClient passes a streamed response to the observer, waits until its Download ends, and returns how it ended.
func streamToClient(observer *attemptObserver, response http1.Response) error {
	attempt := observer.attempt
	streamed := streamedResponse(observer, response)
	attempt.Observer.StreamStarted(attempt, streamed, time.Now())
	select {
	case err := <-streamed.Download.Done:
		return err
	case <-attempt.LoopDone: // the Download may have no reader any more
		return exchange.ErrDownloadStopped
	}
}
