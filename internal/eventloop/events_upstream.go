package eventloop

import (
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/exchange"
	"cindersaddle/internal/upstream"
)

// The loop receives the progress of attempts.
var _ upstream.Observer = (*Loop)(nil)

// uploadSent is the moment when the last byte of a long body was sent to the endpoint.
type uploadSent struct{ attempt *upstream.Attempt }

func (ev uploadSent) apply(l *Loop) { l.finishUpload(ev.attempt) }

// UploadSent posts that the last byte of a long body was sent to the endpoint.
func (l *Loop) UploadSent(attempt *upstream.Attempt) {
	l.inbox.post(uploadSent{attempt: attempt})
}

// responseStarted is the moment when the first part of a good response arrived.
type responseStarted struct {
	attempt   *upstream.Attempt
	startedAt time.Time
}

func (ev responseStarted) apply(l *Loop) {
	l.notifyBalancer(balance.ResponseStarted{
		Request: ev.attempt.RequestID,
		Attempt: ev.attempt.Number,
		Latency: l.clock.toMilliseconds(ev.startedAt) - ev.attempt.SentAt,
	})
}

// ResponseStarted posts that the first part of a good response arrived.
func (l *Loop) ResponseStarted(attempt *upstream.Attempt, startedAt time.Time) {
	l.inbox.post(responseStarted{attempt: attempt, startedAt: startedAt})
}

// streamStarted is a long response whose first bytes are ready for the client.
type streamStarted struct {
	attempt   *upstream.Attempt
	response  *exchange.Response
	startedAt time.Time
}

func (ev streamStarted) apply(l *Loop) { l.startStream(ev) }

// StreamStarted posts a long response, whose Download is read while it arrives.
func (l *Loop) StreamStarted(attempt *upstream.Attempt, response *exchange.Response, startedAt time.Time) {
	l.inbox.post(streamStarted{attempt: attempt, response: response, startedAt: startedAt})
}

// attemptEnded is the end of an attempt.
type attemptEnded struct {
	attempt *upstream.Attempt
	ending  upstream.Ending
	endedAt time.Time // zero for an attempt that was not made
}

func (ev attemptEnded) apply(l *Loop) { l.endAttempt(ev) }

// healthCheckEnded is the end of a health check.
type healthCheckEnded struct {
	endpoint *upstream.Endpoint
	ending   upstream.Ending
	duration balance.Milliseconds
}

func (ev healthCheckEnded) apply(l *Loop) {
	l.notifyBalancer(balance.HealthCheckResult{
		Endpoint:   ev.endpoint.ID,
		Result:     ev.ending.Result,
		Duration:   ev.duration,
		LoadReport: ev.ending.LoadReport,
	})
}
