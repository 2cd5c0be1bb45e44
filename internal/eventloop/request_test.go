package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// expectState checks the state of a request.
func expectState(t *testing.T, req *request, want requestState) {
	t.Helper()
	if req.state != want {
		t.Errorf("state %d, want %d", req.state, want)
	}
	if open := want == stateUploading || want == stateWaiting; req.isOpen() != open {
		t.Errorf("open %v in state %d", req.isOpen(), want)
	}
}

// A request with a long body and a long response passes through all states. It is counted as pending until the end of its
// response, and found by its identifier until its last attempt has ended, also one that was cancelled.
func TestRequestPassesThroughAllStates(t *testing.T) {
	l := newTestLoop(t)
	incoming := newTestExchange(l, time.Now())
	incoming.Request.Uploading = true
	incoming.Message.Upload = &exchange.Upload{}
	l.metrics.PendingRequests.Add(1)
	req := addRequest(l, incoming)
	expectState(t, req, stateUploading)

	attempt, cancelled := addAttempt(l, req), addAttempt(l, req)
	l.finishUpload(attempt)
	expectState(t, req, stateWaiting)

	download := &exchange.Download{Done: make(chan error, 1), Cancel: attempt.Cancel}
	streamStarted{attempt: attempt, response: &exchange.Response{Status: 200, Download: download}, startedAt: time.Now()}.apply(l)
	expectState(t, req, stateStreaming)
	if pending := l.metrics.PendingRequests.Load(); pending != 1 {
		t.Errorf("%d pending requests during the response, want 1", pending)
	}

	end := attemptEnded{attempt: attempt, endedAt: time.Now()}
	end.ending.Result = balance.OK
	end.apply(l)
	expectState(t, req, stateDone)
	if pending := l.metrics.PendingRequests.Load(); pending != 0 || l.requests.byID[req.id] == nil {
		t.Errorf("%d pending requests after the response, known %v, want none, known", pending, l.requests.byID[req.id] != nil)
	}

	end.attempt, end.ending.Result = cancelled, balance.Cancelled
	end.apply(l)
	expectState(t, req, stateReleased)
	if len(l.requests.byID) != 0 {
		t.Error("a released request is still known")
	}
}

// The client of a request with a long body disconnects before its last byte was sent, and that byte is reported only
// afterwards. The request has ended: its time must not begin, and it must not become open again.
func TestUploadSentAfterClientDisconnectIsIgnored(t *testing.T) {
	l := newTestLoop(t)
	incoming := newTestExchange(l, time.Now())
	incoming.Request.Uploading = true
	incoming.Message.Upload = &exchange.Upload{}
	req := addRequest(l, incoming)
	attempt := addAttempt(l, req)
	l.handleDisconnect(incoming)
	expectState(t, req, stateDone)
	l.finishUpload(attempt)
	expectState(t, req, stateDone)
	if len(l.timers.heap) != 0 || len(incoming.Responses) != 0 {
		t.Errorf("%d timers, %d responses, want none", len(l.timers.heap), len(incoming.Responses))
	}
}
