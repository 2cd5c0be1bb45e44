package eventloop

import (
	"context"
	"errors"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// maxUploadTime is the limit, in milliseconds, of an attempt whose request's time has not begun.
const maxUploadTime = 3600e3

// startAttempt sends a request to an endpoint. An attempt that cannot be made any more ends at once, as a local event.
func (l *Loop) startAttempt(action *balance.Action) {
	req := l.requests.byID[action.Request]
	if req == nil {
		return
	}
	attempt := l.newAttempt(req, action)
	req.attempts = append(req.attempts, attempt)
	req.inFlight++
	if req.done || attempt.Endpoint == nil || len(req.attempts) > req.maxAttempts {
		l.postLocal(attemptEnd{attempt: attempt, result: upstream.Result{Outcome: balance.NotAttempted}})
		return
	}
	l.running.Go(func() {
		result := l.upstreamClient.Do(attempt)
		l.post(attemptEnd{attempt: attempt, result: result, endedAt: time.Now()})
	})
}

// newAttempt returns the next attempt of a request. Its endpoint is nil if that has been removed.
func (l *Loop) newAttempt(req *request, action *balance.Action) *upstream.Attempt {
	if upload := req.exchange.Message.Upload; upload != nil {
		upload.ResumeReading()
	}
	timeAfterUpload := req.timeFromLastByte()
	if !req.uploading {
		timeAfterUpload = max(0, req.deadline-l.clock.now)
	}
	attempt := &upstream.Attempt{
		RequestID:       req.id,
		Number:          len(req.attempts),
		Endpoint:        l.endpoints.byID[action.Endpoint],
		Message:         req.exchange.Message,
		SentAt:          l.clock.now,
		Deadline:        l.clock.wallTime(l.attemptDeadline(req, action)),
		TimeAfterUpload: timeAfterUpload.Duration(),
		Observer:        l,
		LoopDone:        l.ctx.Done(),
	}
	attempt.Context, attempt.Cancel = context.WithCancel(l.ctx) // endAttempt calls Cancel
	return attempt
}

// attemptDeadline returns when an attempt is given up: with its request, or sooner if the balancer says so.
func (l *Loop) attemptDeadline(req *request, action *balance.Action) balance.Milliseconds {
	deadline := req.deadline
	if req.uploading {
		deadline = l.clock.now + maxUploadTime
		if upload := req.exchange.Message.Upload; upload != nil && upload.Complete.Load() {
			deadline = l.clock.now + req.timeFromLastByte()
		}
	}
	if action.Deadline > 0 {
		deadline = min(deadline, action.Deadline)
	}
	return deadline
}

// endAttempt handles the end of an attempt. The first good response of a request's attempts goes to the client.
func (l *Loop) endAttempt(ev attemptEnd) {
	ev.attempt.Cancel()
	req := l.requests.byID[ev.attempt.RequestID]
	req.inFlight--
	duration := ev.attempt.StreamLatency
	if duration > 0 {
		l.endStream(req, ev.result.Outcome)
	} else if !ev.endedAt.IsZero() {
		duration = l.clock.milliseconds(ev.endedAt) - ev.attempt.SentAt
	}
	l.logFailedAttempt(req, &ev, duration)
	l.finishWithResult(req, &ev.result)
	l.notifyBalancer(outcomeOf(ev, duration, req.done))
	l.releaseIfEnded(req)
}

// finishWithResult finishes a request if the result of an attempt settles it.
func (l *Loop) finishWithResult(req *request, result *upstream.Result) {
	if result.Outcome == balance.OK {
		l.finish(req, result.Response)
	}
	if result.ClientGone {
		l.finish(req, &exchange.Response{Abort: true})
	}
	if result.UploadError != nil { // the client never completed the request
		var fault *exchange.RequestError
		errors.As(exchange.BodyError(result.UploadError), &fault)
		l.finish(req, closingResponse(fault.Status, fault.Text))
	}
}

// outcomeOf returns the balancer's event for the end of an attempt that took duration milliseconds.
func outcomeOf(ev attemptEnd, duration balance.Milliseconds, finished bool) balance.Outcome {
	attempt := ev.attempt
	outcome := balance.Outcome{
		Request:       attempt.RequestID,
		Attempt:       attempt.Number,
		Result:        ev.result.Outcome,
		Duration:      duration,
		Finished:      finished,
		BodyDiscarded: attempt.MustNotRetry,
		LoadReport:    ev.result.LoadReport,
	}
	if upload := attempt.Message.Upload; upload != nil && upload.Discarded.Load() {
		outcome.BodyDiscarded = true
	}
	if attempt.Endpoint != nil {
		outcome.Endpoint = attempt.Endpoint.ID
	}
	return outcome
}
