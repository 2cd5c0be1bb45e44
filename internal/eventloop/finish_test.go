package eventloop

import (
	"testing"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/sidecartest"
	"cindersaddle/internal/upstream"
)

// The balancer never finishes a request, by a fault of its own, and decides on it when it is too late. The request fails when its
// timer fires, and no later response is sent for it.
func TestExpiredRequestGetsExactlyOneResponse(t *testing.T) {
	l := newTestLoop(t)
	incoming := &exchange.Exchange{Responses: make(chan *exchange.Response, 1)}
	req := &request{id: 1, state: stateWaiting, exchange: incoming}
	l.requests.byID[1] = req
	l.requests.byExchange[incoming] = req
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.fireTimers()
	l.performActions([]balance.Action{{Kind: balance.RejectRequest, Request: 1}, {Kind: balance.FailRequest, Request: 1}})
	l.finish(req, textResponse(200, "late"))
	if response := sidecartest.Next(t, incoming.Responses); response.Status != 504 {
		t.Errorf("status %d, want 504", response.Status)
	}
	if len(incoming.Responses) != 0 || len(l.requests.byID) != 0 || len(l.requests.byExchange) != 0 {
		t.Errorf("%d more responses, %d requests in the index, want none", len(incoming.Responses), len(l.requests.byID))
	}
}

// A request has its response, but its timer stays until the deadline, which is long after it. The timer must not keep headers and
// body in memory.
func TestFinishedRequestReleasesItsMessage(t *testing.T) {
	server := sidecartest.NewScriptedServer(t, sidecartest.Respond(200, "served"))
	l := newTestLoop(t)
	l.upstreamClient = newTestUpstream(t)
	l.applyEndpointList(singleEndpointList(server.Addr), balance.UpdateSnapshot)
	incoming := newTestExchange(l, l.clock.origin)
	l.registerRequest(incoming)
	sidecartest.Next(t, l.inbox.events).apply(l) // the end of its attempt
	if response := sidecartest.Next(t, incoming.Responses); response.Status != 200 {
		t.Fatalf("status %d, want 200", response.Status)
	}
	if len(l.requests.byID)+len(l.requests.byExchange)+len(l.requests.byTraceID) != 0 {
		t.Errorf("%d requests in the index, want none", len(l.requests.byID))
	}
	for _, pending := range l.timers.heap {
		if req := pending.request; req != nil && (req.exchange != nil || req.attempts.byNumber != nil) {
			t.Error("the request's timer still refers to its exchange or its attempts")
		}
	}
}

// A client disconnects, and only the attempt that was to be sent finds that out: the client side may not notice. The request
// must be ended on the client side too, which would wait for a response for ever.
func TestRequestEndsWhenItsClientHasDisconnected(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	responses := req.exchange.Responses
	l.finishAfterAttempt(req, &upstream.Ending{Result: balance.NotAttempted, ClientDisconnected: true})
	select {
	case response := <-responses:
		if !response.Abort {
			t.Errorf("response %+v, want one that aborts", response)
		}
	default:
		t.Error("the client side waits for ever")
	}
}
