package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// endAttempt handles the end of an attempt. The first good response of a request's attempts goes to the client.
func (l *Loop) endAttempt(ev attemptEnd) {
	ev.attempt.Cancel()
	req := l.requests.byID[ev.attempt.RequestID]
	req.attempts.markEnded()
	duration := ev.attempt.StreamLatency
	if duration > 0 {
		l.endStream(req, ev.result.Outcome)
	} else if !ev.endedAt.IsZero() {
		duration = l.clock.milliseconds(ev.endedAt) - ev.attempt.SentAt
	}
	l.logFailedAttempt(req, &ev, duration)
	l.finishWithResult(req, &ev.result)
	l.notifyBalancer(outcomeOf(ev, duration, !req.open()))
	l.releaseIfEnded(req)
}

// finishWithResult finishes a request if the result of an attempt settles it. Otherwise the balancer decides whether the
// request is retried.
func (l *Loop) finishWithResult(req *request, result *upstream.Result) {
	if result.Outcome == balance.OK {
		l.finish(req, result.Response)
	}
	if result.ClientDisconnected {
		l.abortDisconnected(req)
	}
	if result.UploadError != nil {
		l.failUpload(req, result.UploadError)
	}
}

// outcomeOf returns the balancer's event for the end of an attempt. finished means that its request has its final response.
func outcomeOf(ev attemptEnd, duration balance.Milliseconds, finished bool) balance.Outcome {
	attempt := ev.attempt
	outcome := balance.Outcome{
		Request:    attempt.RequestID,
		Attempt:    attempt.Number,
		Result:     ev.result.Outcome,
		Duration:   duration,
		Finished:   finished,
		NoRetry:    attempt.NoRetry,
		LoadReport: ev.result.LoadReport,
	}
	if upload := attempt.Message.Upload; upload != nil && upload.Discarded.Load() {
		outcome.NoRetry = true
	}
	if attempt.Endpoint != nil {
		outcome.Endpoint = attempt.Endpoint.ID
	}
	return outcome
}
