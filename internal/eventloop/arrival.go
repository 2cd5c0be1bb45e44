package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// registerRequest adds a new request to the index and passes it to the balancer, which decides whether to admit it.
func (l *Loop) registerRequest(ex *exchange.Exchange) {
	req := newRequest(l.requests.nextID(), ex)
	l.metrics.PendingRequests.Add(1)
	if l.requests.byTraceID[ex.TraceID] != nil {
		l.rejectDuplicate(req)
		return
	}
	ex.Request.ID = req.id
	l.settings.Translate(ex.Settings, &ex.Request)
	req.subtractQueueTime(l.clock.now - l.clock.toMilliseconds(ex.ReceivedAt))
	l.requests.add(req)
	if !req.isUploading() {
		l.startDeadline(req, ex.ReceivedAt)
	}
	l.notifyBalancer(ex.Request)
}

// handleUploadSent starts the deadline of a request after the last byte of its long body has been sent.
func (l *Loop) handleUploadSent(ev uploadSent) {
	attempt := ev.attempt
	attempt.SentAt = l.clock.toMilliseconds(ev.sent.At)
	req := l.requests.byID[attempt.RequestID]
	if req == nil || !req.isUploading() {
		return
	}
	req.markUploadSent()
	l.startDeadline(req, l.clock.toTime(l.clock.now))
	l.notifyBalancer(balance.UploadComplete{
		Request:       req.id,
		Remaining:     req.exchange.Request.Remaining,
		SinceSent:     max(0, l.clock.now-attempt.SentAt),
		BodyDiscarded: attempt.Message.Upload.Discarded.Load(),
	})
}

// startDeadline sets the deadline of a request that was complete at completeAt, and a timer that fails the request if
// the balancer does not finish it in time.
func (l *Loop) startDeadline(req *request, completeAt time.Time) {
	l.limitLateRequest(req, completeAt)
	req.setDeadline(l.clock.now)
	l.timers.schedule(timer{dueAt: req.deadline + deadlineSlack, request: req})
}
