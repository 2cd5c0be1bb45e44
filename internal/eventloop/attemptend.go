package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// handleAttemptEnd handles the end of an attempt. The first successful response to a request is sent to the client.
func (l *Loop) handleAttemptEnd(ev attemptEnded) {
	ev.attempt.Cancel()
	req := l.requests.byID[ev.attempt.RequestID]
	req.attempts.markEnded()
	req.lengthUnknown = false
	if !ev.outcome.Incomplete && !ev.outcome.Result.NeverExecuted() {
		req.mayHaveRun = true
	}
	duration := ev.attempt.StreamLatency
	if duration > 0 {
		l.finishStream(req, ev.outcome.Result)
	} else if !ev.endedAt.IsZero() {
		duration = l.clock.toMilliseconds(ev.endedAt) - ev.attempt.SentAt
	}
	l.logFailedAttempt(req, &ev, duration)
	l.finishAfterAttempt(req, &ev.outcome)
	l.notifyBalancer(toBalancerOutcome(ev, duration, !req.awaitsResponse()))
	l.releaseIfEnded(req)
}

// finishAfterAttempt finishes a request if an attempt succeeded, or failed because of the client. In all other cases
// the balancer decides whether to retry the request.
func (l *Loop) finishAfterAttempt(req *request, outcome *upstream.Outcome) {
	if outcome.Result == balance.OK {
		l.finishRequest(req, outcome.Response)
	}
	if outcome.ClientDisconnected {
		l.abortRequest(req)
	}
	if outcome.UploadError != nil {
		l.failIncompleteUpload(req, outcome.UploadError)
	}
}

// toBalancerOutcome converts the end of an attempt to the balancer's event. finished reports whether the request has
// its final response.
func toBalancerOutcome(ev attemptEnded, duration balance.Milliseconds, finished bool) balance.Outcome {
	attempt := ev.attempt
	balancerOutcome := balance.Outcome{
		Request:    attempt.RequestID,
		Attempt:    attempt.Number,
		Result:     ev.outcome.Result,
		Duration:   duration,
		Finished:   finished,
		NoRetry:    attempt.NoRetry,
		Incomplete: ev.outcome.Incomplete,
		LoadReport: ev.outcome.LoadReport,
	}
	if upload := attempt.Message.Upload; upload != nil && upload.Discarded.Load() {
		balancerOutcome.NoRetry = true
	}
	if attempt.Endpoint != nil {
		balancerOutcome.Endpoint = attempt.Endpoint.ID
	}
	return balancerOutcome
}
