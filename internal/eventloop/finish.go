package eventloop

import (
	"net/http"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// finishRequest sends a request its final response. A nil response sends nothing, for a client that has disconnected.
// Only the first call for a request has an effect; a nil request is ignored. No other function sends responses
// to clients: successful ones come from finishAfterAttempt and startStream, all others from unserved.go.
func (l *Loop) finishRequest(req *request, response *exchange.Response) {
	if req == nil || !req.awaitsResponse() {
		return
	}
	streaming := response != nil && response.Download != nil
	l.requests.removeExchange(req)
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

// finishStream marks a request as done after the end of its streamed response, and counts it in the metrics.
func (l *Loop) finishStream(req *request, result balance.Result) {
	if req.state != stateStreaming {
		return
	}
	req.markStreamEnded()
	l.metrics.PendingRequests.Add(-1)
	switch result {
	case balance.OK:
		req.counters.CountStatus(http.StatusOK)
	case balance.Cancelled: // the client has disconnected: not counted
	default:
		req.counters.CountStatus(http.StatusBadGateway)
	}
}

// releaseIfEnded removes and releases a request that has ended and has no attempt in flight.
func (l *Loop) releaseIfEnded(req *request) {
	if req.canRelease() {
		l.requests.remove(req)
		if req.idClaimed && !req.mayHaveRun {
			l.executedIDs.Withdraw(req.exchange.TraceID)
		}
		req.release()
	}
}
