package eventloop

import (
	"log/slog"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
)

// registerRequest adds a new request to the index and passes it to the balancer, which decides whether to admit it.
func (l *Loop) registerRequest(ex *exchange.Exchange) {
	req := newRequest(l.requests.nextID(), ex)
	l.metrics.PendingRequests.Add(1)
	if l.requests.byTraceID[ex.TraceID] != nil {
		l.rejectDuplicate(req, reasonIDOpen)
		return
	}
	if !l.claimID(req) {
		l.rejectDuplicate(req, reasonIDExecuted)
		return
	}
	ex.Request.ID = req.id
	l.settings.Translate(ex.Settings, &ex.Request)
	req.subtractQueueTime(l.clock.now - l.clock.toMilliseconds(ex.ReceivedAt))
	l.requests.add(req)
	if req.isUploading() {
		l.scheduleUploadCheck(req, l.uploadDeadline(req))
	} else {
		l.startDeadline(req, ex.ReceivedAt)
	}
	l.notifyBalancer(ex.Request)
}

// claimID claims the trace ID of a request that must not be executed twice. It returns false if another request with this ID
// may have been executed, by this process or another one. releaseIfEnded withdraws the claim if the request was not executed.
func (l *Loop) claimID(req *request) bool {
	class := &req.exchange.Settings.Classes[req.exchange.Request.Class]
	if class.Idempotency == balance.Idempotent {
		return true
	}
	req.idClaimed = l.executedIDs.Claim(req.exchange.TraceID)
	return req.idClaimed
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
	l.timers.schedule(timer{dueAt: req.expiresAt(), request: req})
}

// uploadCheckInterval is the longest time between two checks of how much of a long body has arrived.
const uploadCheckInterval balance.Milliseconds = 100

// scheduleUploadCheck sets a timer for the next check of a request in stateUploading, whose deadline is known.
func (l *Loop) scheduleUploadCheck(req *request, deadline balance.Milliseconds) {
	dueAt := min(deadline+deadlineSlack, l.clock.now+uploadCheckInterval)
	l.timers.schedule(timer{dueAt: dueAt, request: req})
}

// uploadDeadline returns the deadline of a request in stateUploading if no more of its body arrives. It marks the request if it is
// late in a shutdown.
func (l *Loop) uploadDeadline(req *request) balance.Milliseconds {
	lastByteAt := l.clock.toMilliseconds(req.exchange.Message.Upload.EarliestLastByte())
	return l.limitLateUpload(req, lastByteAt+req.exchange.Request.Remaining)
}

// handleDeadlineTimer fails a request that awaits its response after its deadline. The deadline of a long body moves while the
// client has not written the last byte; its timer is set again then. The request ends if its client has left behind bytes that
// are unread, because net/http does not notice that.
func (l *Loop) handleDeadlineTimer(req *request) {
	switch {
	case !req.awaitsResponse():
	case !req.isUploading():
		l.checkDeadline(req)
	case req.exchange.Message.ClientDisconnected():
		l.logUnserved(req, slog.LevelInfo, reasonClientDisconnected)
		l.finishWithoutBalancer(req, &exchange.Response{Abort: true})
	default:
		l.checkUploadDeadline(req)
	}
}

// checkDeadline fails a complete request after its deadline. Its deadline may have moved since its timer was set.
func (l *Loop) checkDeadline(req *request) {
	if l.clock.now < req.deadline {
		return
	}
	if req.lengthUnknown && l.clock.now < req.expiresAt() {
		l.timers.schedule(timer{dueAt: req.expiresAt(), request: req})
		return
	}
	l.expireRequest(req, slog.LevelError, reasonDeadlineExceeded)
}

// checkUploadDeadline fails a request in stateUploading after its deadline, and sets its timer again before.
func (l *Loop) checkUploadDeadline(req *request) {
	deadline := l.uploadDeadline(req)
	if l.clock.now < deadline {
		l.scheduleUploadCheck(req, deadline)
		return
	}
	l.expireRequest(req, slog.LevelInfo, reasonBodyNotSent)
}
