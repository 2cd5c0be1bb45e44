package eventloop

import (
	"context"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// startAttempt starts an attempt to send a request to an endpoint. If the request already has its final response or has
// used all its attempts, or if the endpoint has been removed, nothing is sent and the attempt ends with a local event.
func (l *Loop) startAttempt(action *balance.Action) {
	req := l.requests.byID[action.Request]
	if req == nil {
		return
	}
	attempt := l.newAttempt(req, action)
	req.attempts.add(attempt)
	if !req.awaitsResponse() || attempt.Endpoint == nil || req.attempts.exceedsLimit() {
		l.inbox.postLocal(attemptEnded{attempt: attempt, outcome: upstream.Outcome{Result: balance.NotAttempted}})
		return
	}
	l.goroutines.Go(func() {
		outcome := l.upstreamClient.Do(attempt)
		l.inbox.post(attemptEnded{attempt: attempt, outcome: outcome, endedAt: time.Now()})
	})
}

// newAttempt returns the next attempt of a request. Its Endpoint is nil if the endpoint has been removed.
func (l *Loop) newAttempt(req *request, action *balance.Action) *upstream.Attempt {
	deadline := req.attemptDeadline(l.clock.now, action.Deadline)
	attempt := &upstream.Attempt{
		RequestID:         req.id,
		Number:            len(req.attempts.byNumber),
		Endpoint:          l.endpoints.byID[action.Endpoint],
		Message:           req.exchange.Message,
		SentAt:            l.clock.now,
		Deadline:          l.clock.toTime(deadline),
		PostUploadTimeout: req.timeAfterUpload(l.clock.now).Duration(),
		Observer:          l,
		LoopDone:          l.ctx.Done(),
		Lengths:           req.exchange.Settings.ResponseLengths[req.exchange.Request.Class],
		Shutdown:          &l.serviceState.Shutdown,
	}
	if action.SendBy > 0 {
		attempt.SendBy = l.clock.toTime(min(action.SendBy, deadline))
	}
	attempt.Context, attempt.Cancel = context.WithCancel(l.ctx) // handleAttemptEnd calls Cancel
	return attempt
}

// cancelAttempt cancels an attempt at the balancer's request: either the request has its response from another attempt,
// or the endpoint is considered unresponsive and another attempt is made. It does nothing if the request has been
// released, or if the attempt's response is being streamed to the client, because cancelling would truncate that
// response.
//
// An attempt's context is also cancelled when the client of a streamed response disconnects (Download.Cancel), when the
// loop ends, and in handleAttemptEnd, to release the resources of the context.
func (l *Loop) cancelAttempt(id balance.RequestID, number int) {
	req := l.requests.byID[id]
	if req == nil {
		return
	}
	if attempt := req.attempts.get(number); attempt != nil && attempt.StreamLatency == 0 {
		attempt.Cancel()
	}
}
