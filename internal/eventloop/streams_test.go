package eventloop

import (
	"errors"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// The start of a streamed response arrives after its attempt was cancelled. The rest of the response cannot be read,
// and the balancer retries the request: the start must not be sent to the client.
func TestResponseOfCancelledAttemptIsDiscarded(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	attempt := addAttempt(l, req)
	l.performActions([]balance.Action{{Kind: balance.CancelAttempt, Request: req.id, Attempt: 0}})

	download := &exchange.Download{Done: make(chan error, 1), Cancel: attempt.Cancel}
	response := &exchange.Response{Status: 200, Download: download}
	streamStarted{attempt: attempt, response: response, startedAt: time.Now()}.apply(l)

	if !req.awaitsResponse() || len(req.exchange.Responses) > 0 {
		t.Errorf("got awaitsResponse %v and %d responses for the client, want true and 0",
			req.awaitsResponse(), len(req.exchange.Responses))
	}
	select {
	case err := <-download.Done:
		if !errors.Is(err, exchange.ErrDownloadStopped) {
			t.Errorf("got download error %v, want %v", err, exchange.ErrDownloadStopped)
		}
	default:
		t.Errorf("got a download that is still open, want one that ended with %v", exchange.ErrDownloadStopped)
	}
}
