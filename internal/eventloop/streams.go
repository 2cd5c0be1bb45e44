package eventloop

import (
	"net/http"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// minStreamLatency, in milliseconds, keeps the latency of a stream above 0, which means that no stream has started.
const minStreamLatency = 1e-3

// finishUpload starts the time of a request whose long body has been sent to its last byte.
func (l *Loop) finishUpload(attempt *upstream.Attempt) {
	attempt.SentAt = l.clock.now
	req := l.requests.byID[attempt.RequestID]
	if req == nil || !req.uploading || req.done {
		return
	}
	req.uploading = false
	req.exchange.Request.Remaining = req.timeFromLastByte()
	l.limitLateRequest(req, l.clock.wallTime(l.clock.now))
	l.startDeadline(req)
	l.notifyBalancer(balance.UploadComplete{
		Request:       req.id,
		Remaining:     req.exchange.Request.Remaining,
		BodyDiscarded: attempt.Message.Upload.Discarded.Load(),
	})
}

// startStream gives a request a long response, which ends with its attempt.
func (l *Loop) startStream(ev streamStart) {
	attempt := ev.attempt
	req := l.requests.byID[attempt.RequestID]
	if req.afterShutdown { // the process would be killed before its end
		attempt.MustNotRetry = true
	}
	// The rest of a response whose attempt the balancer has cancelled cannot be read any more, and the request is retried.
	cancelled := attempt.Context.Err() != nil
	if req.done || req.afterShutdown || cancelled {
		ev.response.Download.Finish(exchange.ErrClientStopped)
		return
	}
	attempt.StreamLatency = max(l.clock.milliseconds(ev.startedAt)-attempt.SentAt, minStreamLatency)
	l.finish(req, ev.response)
	l.notifyBalancer(balance.StreamStarted{
		Request:  req.id,
		Attempt:  attempt.Number,
		Endpoint: attempt.Endpoint.ID,
		Latency:  attempt.StreamLatency,
	})
}

// endStream counts a request whose long response has ended.
func (l *Loop) endStream(req *request, outcome balance.Result) {
	if !req.streaming {
		return
	}
	req.streaming = false
	l.metrics.PendingRequests.Add(-1)
	switch outcome {
	case balance.OK:
		req.counters.CountStatus(http.StatusOK)
	case balance.Cancelled: // its client has gone: not counted
	default:
		req.counters.CountStatus(http.StatusBadGateway)
	}
}
