package eventloop

import (
	"errors"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// An attempt is cancelled, and the beginning of its long response arrives after that. The rest cannot be read any more, and the
// balancer retries the request: the client must not be given the beginning.
func TestResponseOfCancelledAttemptIsDiscarded(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	attempt := addAttempt(l, req)
	l.performActions([]balance.Action{{Kind: balance.CancelAttempt, Request: req.id, Attempt: 0}})

	download := &exchange.Download{Done: make(chan error, 1), Cancel: attempt.Cancel}
	streamStarted{attempt: attempt, response: &exchange.Response{Status: 200, Download: download}, startedAt: time.Now()}.apply(l)

	if !req.isOpen() || len(req.exchange.Responses) > 0 {
		t.Error("the response of a cancelled attempt was given to the client")
	}
	select {
	case err := <-download.Done:
		if !errors.Is(err, exchange.ErrDownloadStopped) {
			t.Errorf("the response ended with %v, want %v", err, exchange.ErrDownloadStopped)
		}
	default:
		t.Error("the response is still open, and its attempt would wait for its end")
	}
}
