package eventloop

import (
	"net/http"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// finish gives a request its final response, or none (nil) if the client side has ended it. Only the first call for a request
// has an effect, and a nil request is ignored. This is the only place that sends a response to a client: a good one comes
// from finishAfterAttempt or startStream, all others from unserved.go.
func (l *Loop) finish(req *request, response *exchange.Response) {
	if req == nil || !req.isOpen() {
		return
	}
	streaming := response != nil && response.Download != nil
	l.requests.removeOpen(req)
	req.markFinished(streaming)
	if !streaming {
		l.metrics.PendingRequests.Add(-1)
	}
	if response != nil {
		if !streaming && !response.Abort {
			req.counters.CountStatus(response.Status)
		}
		req.exchange.Responses <- response
	}
	l.releaseIfEnded(req)
}

// finishStream counts a request whose long response has ended.
func (l *Loop) finishStream(req *request, outcome balance.Result) {
	if req.state != stateStreaming {
		return
	}
	req.markStreamEnded()
	l.metrics.PendingRequests.Add(-1)
	switch outcome {
	case balance.OK:
		req.counters.CountStatus(http.StatusOK)
	case balance.Cancelled: // its client has disconnected: not counted
	default:
		req.counters.CountStatus(http.StatusBadGateway)
	}
}

// releaseIfEnded forgets a request that has ended and of which nothing is in flight.
func (l *Loop) releaseIfEnded(req *request) {
	if req.canRelease() {
		l.requests.remove(req)
		req.release()
	}
}
