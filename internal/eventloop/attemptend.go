package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/upstream"
)

// endAttempt handles the end of an attempt. The first successful response to a request is sent to the client.
func (l *Loop) endAttempt(ev attemptEnded) {
	ev.attempt.Cancel()
	req := l.requests.byID[ev.attempt.RequestID]
	req.attempts.markEnded()
	duration := ev.attempt.StreamLatency
	if duration > 0 {
		l.finishStream(req, ev.ending.Result)
	} else if !ev.endedAt.IsZero() {
		duration = l.clock.toMilliseconds(ev.endedAt) - ev.attempt.SentAt
	}
	l.logFailedAttempt(req, &ev, duration)
	l.finishAfterAttempt(req, &ev.ending)
	l.notifyBalancer(newOutcome(ev, duration, !req.isOpen()))
	l.releaseIfEnded(req)
}

// finishAfterAttempt finishes a request if an attempt succeeded, or failed because of the client. In all other cases
// the balancer decides whether to retry the request.
func (l *Loop) finishAfterAttempt(req *request, ending *upstream.Outcome) {
	if ending.Result == balance.OK {
		l.finish(req, ending.Response)
	}
	if ending.ClientDisconnected {
		l.abortRequest(req)
	}
	if ending.UploadError != nil {
		l.failIncompleteUpload(req, ending.UploadError)
	}
}

// newOutcome returns the balancer's event for the end of an attempt. finished reports whether the request has its final
// response.
func newOutcome(ev attemptEnded, duration balance.Milliseconds, finished bool) balance.Outcome {
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
