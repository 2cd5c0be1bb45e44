package eventloop

import (
	"context"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// startAttempt sends a request to an endpoint. An attempt that cannot be made any more ends at once, as a local event: its
// request is done, its endpoint has been removed, or the request has had all its attempts.
func (l *Loop) startAttempt(action *balance.Action) {
	req := l.requests.byID[action.Request]
	if req == nil {
		return
	}
	attempt := l.newAttempt(req, action)
	req.attempts.add(attempt)
	if !req.isOpen() || attempt.Endpoint == nil || req.attempts.overLimit() {
		l.inbox.postLocal(attemptEnded{attempt: attempt, ending: upstream.Ending{Result: balance.NotAttempted}})
		return
	}
	l.goroutines.Go(func() {
		ending := l.upstreamClient.Do(attempt)
		l.inbox.post(attemptEnded{attempt: attempt, ending: ending, endedAt: time.Now()})
	})
}

// newAttempt returns the next attempt of a request. Its endpoint is nil if that has been removed.
func (l *Loop) newAttempt(req *request, action *balance.Action) *upstream.Attempt {
	if upload := req.exchange.Message.Upload; upload != nil {
		upload.ResumeReading()
	}
	attempt := &upstream.Attempt{
		RequestID:       req.id,
		Number:          len(req.attempts.byNumber),
		Endpoint:        l.endpoints.byID[action.Endpoint],
		Message:         req.exchange.Message,
		SentAt:          l.clock.now,
		Deadline:        l.clock.toTime(req.attemptDeadline(l.clock.now, action.Deadline)),
		TimeAfterUpload: req.timeAfterUpload(l.clock.now).Duration(),
		Observer:        l,
		LoopDone:        l.ctx.Done(),
	}
	attempt.Context, attempt.Cancel = context.WithCancel(l.ctx) // endAttempt calls Cancel
	return attempt
}

// cancelAttempt cancels an attempt because the balancer has decided so: its request has its response from another attempt, or
// its endpoint is taken for unresponsive and another attempt is made. It cancels none of a request that has been released, and
// none whose response is on its way to the client, as that would break off.
//
// An attempt is cancelled in three other cases: the client side cancels it (Download.Cancel) when the client of a long response
// has disconnected, all are cancelled when the loop ends, and endAttempt releases the context of one that has ended.
func (l *Loop) cancelAttempt(id balance.RequestID, number int) {
	req := l.requests.byID[id]
	if req == nil {
		return
	}
	if attempt := req.attempts.get(number); attempt != nil && attempt.StreamLatency == 0 {
		attempt.Cancel()
	}
}
