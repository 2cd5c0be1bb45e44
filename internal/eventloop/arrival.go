package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// registerRequest enters a new request in the index and passes it to the balancer, which decides whether it is admitted.
func (l *Loop) registerRequest(incoming *exchange.Exchange) {
	req := newRequest(l.requests.nextID(), incoming)
	l.metrics.PendingRequests.Add(1)
	if l.requests.byTraceID[incoming.TraceID] != nil {
		l.rejectDuplicate(req)
		return
	}
	incoming.Request.ID = req.id
	l.settings.Translate(incoming.Settings, &incoming.Request)
	req.subtractQueueTime(l.clock.now - l.clock.toMilliseconds(incoming.ReceivedAt))
	l.requests.add(req)
	if !req.isUploading() {
		l.startDeadline(req, incoming.ReceivedAt)
	}
	l.notifyBalancer(incoming.Request)
}

// finishUpload sets the deadline of a request whose long body has been sent to its last byte.
func (l *Loop) finishUpload(attempt *upstream.Attempt) {
	attempt.SentAt = l.clock.now
	req := l.requests.byID[attempt.RequestID]
	if req == nil || !req.isUploading() {
		return
	}
	req.markUploadSent()
	l.startDeadline(req, l.clock.toTime(l.clock.now))
	l.notifyBalancer(balance.UploadComplete{
		Request:       req.id,
		Remaining:     req.exchange.Request.Remaining,
		BodyDiscarded: attempt.Message.Upload.Discarded.Load(),
	})
}

// setDeadline sets the deadline of a request that was complete at a moment, and the timer that fails the request if the
// balancer does not finish it in time.
func (l *Loop) startDeadline(req *request, completeAt time.Time) {
	l.limitLateRequest(req, completeAt)
	req.setDeadline(l.clock.now)
	l.timers.schedule(timer{dueAt: req.deadline + deadlineSlack, request: req})
}
