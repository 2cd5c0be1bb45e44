package eventloop

import (
	"net/http"
	"testing"
)

// requestFinished finishes a request with a good response, as the end of an attempt does.
type requestFinished struct{ request *request }

func (ev requestFinished) apply(l *Loop) { l.finish(ev.request, textResponse(http.StatusOK, "served")) }

// A response has arrived and waits in the inbox when the deadline of its request is due, because the process did not run for a
// moment. The response must be handled first: it was in time, and its request must not fail.
func TestQueuedEventsAreHandledBeforeDueTimers(t *testing.T) {
	l := newTestLoop(t)
	req := newOpenRequest(l)
	responses := req.exchange.Responses
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.inbox.post(requestFinished{req})
	l.handleBatch(nil)
	l.fireTimers()
	if response := <-responses; response.Status != http.StatusOK {
		t.Errorf("status %d, want 200", response.Status)
	}
}
