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
		l.endStream(req, ev.ending.Result)
	} else if !ev.endedAt.IsZero() {
		duration = l.clock.milliseconds(ev.endedAt) - ev.attempt.SentAt
	}
	l.logFailedAttempt(req, &ev, duration)
	l.finishWithEnding(req, &ev.ending)
	l.notifyBalancer(outcomeOf(ev, duration, !req.open()))
	l.releaseIfEnded(req)
}

// finishWithEnding finishes a request if the result of an attempt settles it. Otherwise the balancer decides whether the
// request is retried.
func (l *Loop) finishWithEnding(req *request, ending *upstream.Ending) {
	if ending.Result == balance.OK {
		l.finish(req, ending.Response)
	}
	if ending.ClientDisconnected {
		l.abortDisconnected(req)
	}
	if ending.UploadError != nil {
		l.failUpload(req, ending.UploadError)
	}
}

// outcomeOf returns the balancer's event for the end of an attempt. finished means that its request has its final response.
func outcomeOf(ev attemptEnd, duration balance.Milliseconds, finished bool) balance.Outcome {
	attempt := ev.attempt
	outcome := balance.Outcome{
		Request:    attempt.RequestID,
		Attempt:    attempt.Number,
		Result:     ev.ending.Result,
		Duration:   duration,
		Finished:   finished,
		NoRetry:    attempt.NoRetry,
		LoadReport: ev.ending.LoadReport,
	}
	if upload := attempt.Message.Upload; upload != nil && upload.Discarded.Load() {
		outcome.NoRetry = true
	}
	if attempt.Endpoint != nil {
		outcome.Endpoint = attempt.Endpoint.ID
	}
	return outcome
}
