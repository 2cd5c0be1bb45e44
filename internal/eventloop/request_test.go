package eventloop

import (
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// expectState checks the state of a request.
func expectState(t *testing.T, req *request, want requestState) {
	t.Helper()
	if req.state != want {
		t.Errorf("got state %d, want %d", req.state, want)
	}
	if awaits := want == stateUploading || want == stateWaiting; req.awaitsResponse() != awaits {
		t.Errorf("got awaitsResponse %v in state %d, want %v", req.awaitsResponse(), want, awaits)
	}
}

// A request with a long body and a streamed response passes through all states. It must count as pending until the end
// of its response, and stay in the index until its last attempt has ended, even if that attempt was cancelled.
func TestRequestPassesThroughAllStates(t *testing.T) {
	l := newTestLoop(t)
	ex := newTestExchange(l, time.Now())
	ex.Request.Uploading = true
	ex.Message.Upload = &exchange.Upload{}
	l.metrics.PendingRequests.Add(1)
	req := addRequest(l, ex)
	expectState(t, req, stateUploading)

	attempt, cancelled := addAttempt(l, req), addAttempt(l, req)
	l.handleUploadSent(uploadSent{attempt: attempt, sent: upstream.SentUpload{At: time.Now()}})
	expectState(t, req, stateWaiting)

	download := &exchange.Download{Done: make(chan error, 1), Cancel: attempt.Cancel}
	response := &exchange.Response{Status: 200, Download: download}
	streamStarted{attempt: attempt, response: response, startedAt: time.Now()}.apply(l)
	expectState(t, req, stateStreaming)
	if pending := l.metrics.PendingRequests.Load(); pending != 1 {
		t.Errorf("got %d pending requests during the response, want 1", pending)
	}

	end := attemptEnded{attempt: attempt, endedAt: time.Now()}
	end.outcome.Result = balance.OK
	end.apply(l)
	expectState(t, req, stateDone)
	if pending := l.metrics.PendingRequests.Load(); pending != 0 || l.requests.byID[req.id] == nil {
		t.Errorf("after the response: got %d pending requests, in the index %v, want 0, true",
			pending, l.requests.byID[req.id] != nil)
	}

	end.attempt, end.outcome.Result = cancelled, balance.Cancelled
	end.apply(l)
	expectState(t, req, stateReleased)
	if len(l.requests.byID) != 0 {
		t.Errorf("got %d requests in the index after the release, want 0", len(l.requests.byID))
	}
}

// The client disconnects during the upload, and the event that the last byte was sent is handled only after that. The
// request has ended: it must not become open again, and its deadline must not start.
func TestUploadSentAfterClientDisconnectIsIgnored(t *testing.T) {
	l := newTestLoop(t)
	ex := newTestExchange(l, time.Now())
	ex.Request.Uploading = true
	ex.Message.Upload = &exchange.Upload{}
	req := addRequest(l, ex)
	attempt := addAttempt(l, req)
	l.handleDisconnect(ex)
	expectState(t, req, stateDone)
	l.handleUploadSent(uploadSent{attempt: attempt, sent: upstream.SentUpload{At: time.Now()}})
	expectState(t, req, stateDone)
	if len(l.timers.heap) != 0 || len(ex.Responses) != 0 {
		t.Errorf("got %d timers and %d responses, want none", len(l.timers.heap), len(ex.Responses))
	}
}
