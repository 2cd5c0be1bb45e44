package eventloop

import (
	"net/http"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// deadlineSlack is how many milliseconds after its deadline a request fails that the balancer has not finished.
const deadlineSlack = 10

// admitRequest opens a request and passes it to the balancer.
func (l *Loop) admitRequest(incoming *exchange.Exchange) {
	req := newRequest(l.requests.nextID(), incoming)
	l.metrics.PendingRequests.Add(1)
	if l.requests.byTraceID[incoming.TraceID] != nil {
		// Servers and clients know a request by its trace identifier: with that of an open request it would get the response
		// of the other, or the other its own.
		l.finish(req, closingResponse(http.StatusConflict, "a request of this X-Trace-Id is open"))
		return
	}
	incoming.Request.ID = req.id
	l.settings.Translate(incoming.Settings, &incoming.Request)
	waited := l.clock.now - l.clock.milliseconds(incoming.ReceivedAt)
	incoming.Request.Remaining = max(0, incoming.Request.Remaining-waited)
	l.requests.add(req)
	if !req.uploading {
		l.limitLateRequest(req, incoming.ReceivedAt)
		l.startDeadline(req)
	}
	l.notifyBalancer(incoming.Request)
}

// limitLateRequest cuts the time of a request that came late in a shutdown to what the shutdown allows.
func (l *Loop) limitLateRequest(req *request, receivedAt time.Time) {
	shutdown := l.state.Shutdown.Load()
	if shutdown == nil || !receivedAt.After(shutdown.LateAfter) {
		return
	}
	req.afterShutdown = true
	allowed := l.clock.milliseconds(shutdown.RespondBy) - l.clock.now
	pending := &req.exchange.Request
	pending.Remaining = max(0, min(pending.Remaining, allowed))
}

// startDeadline sets the deadline of a request, whose time counts from its last byte.
func (l *Loop) startDeadline(req *request) {
	req.deadline = l.clock.now + req.exchange.Request.Remaining
	l.timers.schedule(timer{dueAt: req.deadline + deadlineSlack, request: req})
}

// finish gives a request its final response, or none (nil) if the client side has ended it. Only the first call for a request has an
// effect, and a nil request is ignored. This is the only place that sends a response to a client.
func (l *Loop) finish(req *request, response *exchange.Response) {
	if req == nil || req.done {
		return
	}
	req.done = true
	req.streaming = response != nil && response.Download != nil
	if !req.streaming {
		l.metrics.PendingRequests.Add(-1)
	}
	l.requests.markDone(req)
	for _, attempt := range req.attempts {
		attempt.RequestDone.Store(true)
	}
	if response != nil {
		if !req.streaming && !response.Abort {
			req.counters.CountStatus(response.Status)
		}
		req.exchange.Responses <- response
	}
	l.releaseIfEnded(req)
}

// releaseIfEnded forgets a request that is done and of which nothing is in flight.
func (l *Loop) releaseIfEnded(req *request) {
	if !req.done || req.inFlight > 0 || req.exchange == nil {
		return
	}
	l.requests.remove(req)
	// The timer refers to the request until its deadline, long after the response; headers and body need not stay in memory.
	req.exchange = nil
	req.attempts = nil
}

// abandonRequest finishes a request without the balancer's decision, and tells the balancer to drop it.
func (l *Loop) abandonRequest(req *request, response *exchange.Response) {
	l.finish(req, response)
	l.notifyBalancer(balance.ClientGone{Request: req.id})
}

// expireRequest fails a request that is still open after its deadline, whatever the balancer's state of it is.
func (l *Loop) expireRequest(req *request) {
	if req.done {
		return
	}
	l.log.Error("request not finished by the balancer", "request", req.exchange.TraceID)
	l.abandonRequest(req, textResponse(http.StatusGatewayTimeout, "out of time"))
}

// clientLeft ends the request of a client that has closed its connection.
func (l *Loop) clientLeft(departed *exchange.Exchange) {
	if req := l.requests.byExchange[departed]; req != nil && !req.done {
		l.logUnserved(req, "client left")
		l.abandonRequest(req, nil)
	}
	select { // a long response may have been sent just before the client left: nobody else ends it
	case response := <-departed.Responses:
		if response.Download != nil {
			response.Download.Finish(exchange.ErrClientStopped)
		}
	default:
	}
}
