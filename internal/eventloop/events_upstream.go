package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// Loop receives the progress of attempts from package upstream.
var _ upstream.Observer = (*Loop)(nil)

// uploadSent reports that the last byte of a long request body was sent to the endpoint.
type uploadSent struct {
	attempt *upstream.Attempt
	sent    upstream.SentUpload
}

func (ev uploadSent) apply(l *Loop) {
	l.handleUploadSent(ev)
	l.logRetriedUpload(ev)
}

// UploadSent tells the loop that the last byte of a long request body was sent to the endpoint.
func (l *Loop) UploadSent(attempt *upstream.Attempt, sent upstream.SentUpload) {
	l.inbox.post(uploadSent{attempt: attempt, sent: sent})
}

// responseStarted reports that the head of a successful response arrived.
type responseStarted struct {
	attempt  *upstream.Attempt
	response upstream.StartedResponse
}

func (ev responseStarted) apply(l *Loop) {
	req := l.requests.byID[ev.attempt.RequestID]
	req.lengthUnknown = ev.response.LengthUnknown && !req.lateInShutdown
	l.notifyBalancer(balance.ResponseStarted{
		Request:       ev.attempt.RequestID,
		Attempt:       ev.attempt.Number,
		Latency:       l.clock.toMilliseconds(ev.response.At) - ev.attempt.SentAt,
		LengthUnknown: req.lengthUnknown,
	})
}

// ResponseStarted tells the loop that the head of a successful response arrived.
func (l *Loop) ResponseStarted(attempt *upstream.Attempt, response upstream.StartedResponse) {
	l.inbox.post(responseStarted{attempt: attempt, response: response})
}

// streamStarted reports a streamed response whose first bytes are ready for the client.
type streamStarted struct {
	attempt   *upstream.Attempt
	response  *exchange.Response
	startedAt time.Time
}

func (ev streamStarted) apply(l *Loop) { l.startStream(ev) }

// StreamStarted passes a streamed response to the loop. Its Download is read while the response arrives.
func (l *Loop) StreamStarted(attempt *upstream.Attempt, response *exchange.Response, startedAt time.Time) {
	l.inbox.post(streamStarted{attempt: attempt, response: response, startedAt: startedAt})
}

// attemptEnded reports the end of an attempt.
type attemptEnded struct {
	attempt *upstream.Attempt
	outcome upstream.Outcome
	endedAt time.Time // zero if nothing was sent
}

func (ev attemptEnded) apply(l *Loop) { l.handleAttemptEnd(ev) }

// healthCheckEnded reports the end of a health check.
type healthCheckEnded struct {
	endpoint *upstream.Endpoint
	outcome  upstream.Outcome
	duration balance.Milliseconds
}

func (ev healthCheckEnded) apply(l *Loop) {
	l.notifyBalancer(balance.HealthCheckResult{
		Endpoint:   ev.endpoint.ID,
		Result:     ev.outcome.Result,
		Duration:   ev.duration,
		LoadReport: ev.outcome.LoadReport,
	})
}
