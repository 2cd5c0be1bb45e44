package eventloop

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// TestCancelledAttemptCannotAnswer checks that the beginning of a response which comes after its attempt was cancelled
// is not given to the client: the rest cannot be read any more, and the balancer retries the request.
func TestCancelledAttemptCannotAnswer(t *testing.T) {
	l := newTestLoop(t)
	l.clock.update()
	req := newRequest(l.requests.nextID(), newTestExchange(l, time.Now()))
	l.requests.add(req)
	endpoint := l.endpoints.add("s-1")
	attempt := l.newAttempt(req, &balance.Action{Kind: balance.SendAttempt, Request: req.id, Endpoint: endpoint.ID})
	req.attempts = append(req.attempts, attempt)
	req.inFlight++
	l.perform([]balance.Action{{Kind: balance.CancelAttempt, Request: req.id, Attempt: 0}})

	download := &exchange.Download{Done: make(chan error, 1), Cancel: attempt.Cancel}
	streamStart{attempt: attempt, response: &exchange.Response{Status: 200, Download: download}, startedAt: time.Now()}.apply(l)

	if req.done || len(req.exchange.Responses) > 0 {
		t.Error("the response of a cancelled attempt was given to the client")
	}
	select {
	case err := <-download.Done:
		if !errors.Is(err, exchange.ErrClientStopped) {
			t.Errorf("the response ended with %v, want %v", err, exchange.ErrClientStopped)
		}
	default:
		t.Error("the response is still open, and its attempt would wait for its end")
	}
}

// finishEvent finishes a request with a good response, as the end of an attempt does.
type finishEvent struct{ request *request }

func (ev finishEvent) apply(l *Loop) { l.finish(ev.request, textResponse(http.StatusOK, "served")) }

// TestWaitingEventsComeBeforeDueTimers checks that an event which waits when a timer is due is handled first: a response that
// has come is not given up because of its time.
func TestWaitingEventsComeBeforeDueTimers(t *testing.T) {
	l := newTestLoop(t)
	l.clock.update()
	req := newRequest(l.requests.nextID(), newTestExchange(l, time.Now()))
	l.requests.add(req)
	responses := req.exchange.Responses
	l.timers.schedule(timer{dueAt: l.clock.now, request: req})
	l.post(finishEvent{req})
	l.handleBatch(nil)
	l.fireTimers()
	if response := <-responses; response.Status != http.StatusOK {
		t.Errorf("status %d, want 200", response.Status)
	}
}

// TestDepartedClientEndsItsRequest checks that a request whose client had gone when it was to be sent is ended on the client side
// too, which may not have noticed.
func TestDepartedClientEndsItsRequest(t *testing.T) {
	l := newTestLoop(t)
	l.clock.update()
	req := newRequest(l.requests.nextID(), newTestExchange(l, time.Now()))
	l.requests.add(req)
	responses := req.exchange.Responses
	l.finishWithResult(req, &upstream.Result{Outcome: balance.NotAttempted, ClientGone: true})
	select {
	case response := <-responses:
		if !response.Abort {
			t.Errorf("response %+v, want one that aborts", response)
		}
	default:
		t.Error("the client side waits for ever")
	}
}
