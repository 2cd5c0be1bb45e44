package eventloop

import (
	"net/http"
	"testing"
)

// requestFinished finishes a request with a successful response, like the end of an attempt.
type requestFinished struct{ request *request }

func (ev requestFinished) apply(l *Loop) {
	l.finishRequest(ev.request, textResponse(http.StatusOK, "served"))
}

// The process does not run for a moment. Then the inbox holds a response that arrived in time, and the deadline of its
// request is due. The response must be handled first, so that the request does not fail.
func TestQueuedEventsAreHandledBeforeDueTimers(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	responses := req.exchange.Responses
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.inbox.post(requestFinished{req})
	l.handleBatch(nil)
	l.fireTimers()
	if response := <-responses; response.Status != http.StatusOK {
		t.Errorf("got status %d, want %d", response.Status, http.StatusOK)
	}
}
