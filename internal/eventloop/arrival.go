package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// admitRequest opens a request and passes it to the balancer.
func (l *Loop) admitRequest(incoming *exchange.Exchange) {
	req := newRequest(l.requests.nextID(), incoming)
	l.metrics.PendingRequests.Add(1)
	if l.requests.byTraceID[incoming.TraceID] != nil {
		l.rejectDuplicate(req)
		return
	}
	incoming.Request.ID = req.id
	l.settings.Translate(incoming.Settings, &incoming.Request)
	queued := l.clock.now - l.clock.milliseconds(incoming.ReceivedAt)
	incoming.Request.Remaining = max(0, incoming.Request.Remaining-queued)
	l.requests.add(req)
	if !req.uploading() {
		l.startTime(req, incoming.ReceivedAt)
	}
	l.notifyBalancer(incoming.Request)
}

// finishUpload starts the time of a request whose long body has been sent to its last byte.
func (l *Loop) finishUpload(attempt *upstream.Attempt) {
	attempt.SentAt = l.clock.now
	req := l.requests.byID[attempt.RequestID]
	if req == nil || !req.uploading() {
		return
	}
	req.markUploaded()
	l.startTime(req, l.clock.timeOf(l.clock.now))
	l.notifyBalancer(balance.UploadComplete{
		Request:       req.id,
		Remaining:     req.exchange.Request.Remaining,
		BodyDiscarded: attempt.Message.Upload.Discarded.Load(),
	})
}

// startTime starts the time of a request that was complete at a moment, and sets the timer that fails it if the balancer does
// not finish it in time.
func (l *Loop) startTime(req *request, completeAt time.Time) {
	l.limitLateRequest(req, completeAt)
	req.startTime(l.clock.now)
	l.timers.schedule(timer{dueAt: req.deadline + deadlineSlack, request: req})
}
