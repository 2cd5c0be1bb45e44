package eventloop

import (
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// A fault in the balancer delays its decision on a request past the deadline. The request must fail when its timer
// fires, and the late decision must not send a second response.
func TestExpiredRequestGetsExactlyOneResponse(t *testing.T) {
	l := newTestLoop(t)
	ex := &exchange.Exchange{Responses: make(chan *exchange.Response, 1)}
	req := &request{id: 1, state: stateWaiting, exchange: ex}
	l.requests.byID[1] = req
	l.requests.byExchange[ex] = req
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.fireTimers()
	l.performActions([]balance.Action{
		{Kind: balance.RejectRequest, Request: 1},
		{Kind: balance.FailRequest, Request: 1},
	})
	l.finishRequest(req, textResponse(200, "late"))
	if response := sidecartest.Next(t, ex.Responses); response.Status != 504 {
		t.Errorf("got status %d, want 504", response.Status)
	}
	if len(ex.Responses) != 0 || len(l.requests.byID) != 0 || len(l.requests.byExchange) != 0 {
		t.Errorf("got %d more responses, %d requests in the index, %d of them open, want none",
			len(ex.Responses), len(l.requests.byID), len(l.requests.byExchange))
	}
}

// The timer of a request stays in the queue until the deadline, long after the response. It must not keep the headers
// and the body of the request in memory.
func TestFinishedRequestReleasesItsMessage(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	l := newTestLoop(t)
	l.upstreamClient = newTestUpstream(t)
	l.applyEndpointList(singleEndpointList(server.Addr), balance.UpdateSnapshot)
	ex := newTestExchange(l, l.clock.origin)
	l.registerRequest(ex)
	sidecartest.Next(t, l.inbox.events).apply(l) // the end of its attempt
	if response := sidecartest.Next(t, ex.Responses); response.Status != 200 {
		t.Fatalf("got status %d, want 200", response.Status)
	}
	if len(l.requests.byID)+len(l.requests.byExchange)+len(l.requests.byTraceID) != 0 {
		t.Errorf("got %d requests in the index by ID, %d by exchange, %d by trace ID, want none",
			len(l.requests.byID), len(l.requests.byExchange), len(l.requests.byTraceID))
	}
	for _, pending := range l.timers.heap {
		if req := pending.request; req != nil && (req.exchange != nil || req.attempts.byNumber != nil) {
			t.Errorf("got a timer whose request refers to exchange %p and %d attempts, want neither",
				req.exchange, len(req.attempts.byNumber))
		}
	}
}

// A client disconnects, and only an attempt that is about to be sent notices that. The loop must send package
// downstream a response with Abort, which ends the request: without it, downstream would wait forever.
func TestRequestEndsWhenItsClientHasDisconnected(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	responses := req.exchange.Responses
	l.finishAfterAttempt(req, &upstream.Outcome{Result: balance.NotAttempted, ClientDisconnected: true})
	select {
	case response := <-responses:
		if !response.Abort {
			t.Errorf("got response %+v, want one with Abort", response)
		}
	default:
		t.Error("got no response, want one with Abort")
	}
}
