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

// responseStart is the moment when the first part of a good response arrived.
type responseStart struct {
	attempt   *upstream.Attempt
	startedAt time.Time
}

func (ev responseStart) apply(l *Loop) {
	l.notifyBalancer(balance.ResponseStarted{
		Request: ev.attempt.RequestID,
		Attempt: ev.attempt.Number,
		Latency: l.clock.milliseconds(ev.startedAt) - ev.attempt.SentAt,
	})
}

// ResponseStarted posts that the first part of a good response arrived.
func (l *Loop) ResponseStarted(attempt *upstream.Attempt, startedAt time.Time) {
	l.inbox.post(responseStart{attempt: attempt, startedAt: startedAt})
}

// streamStart is a long response whose first bytes are ready for the client.
type streamStart struct {
	attempt   *upstream.Attempt
	response  *exchange.Response
	startedAt time.Time
}

func (ev streamStart) apply(l *Loop) { l.startStream(ev) }

// StreamStarted posts a long response, whose Download is read while it arrives.
func (l *Loop) StreamStarted(attempt *upstream.Attempt, response *exchange.Response, startedAt time.Time) {
	l.inbox.post(streamStart{attempt: attempt, response: response, startedAt: startedAt})
}

// attemptEnd is the end of an attempt.
type attemptEnd struct {
	attempt *upstream.Attempt
	ending  upstream.Ending
	endedAt time.Time // zero for an attempt that was not made
}

func (ev attemptEnd) apply(l *Loop) { l.endAttempt(ev) }

// healthCheckEnd is the end of a health check.
type healthCheckEnd struct {
	endpoint *upstream.Endpoint
	ending   upstream.Ending
	duration balance.Milliseconds
}

func (ev healthCheckEnd) apply(l *Loop) {
	l.notifyBalancer(balance.HealthCheckResult{
		Endpoint:   ev.endpoint.ID,
		Result:     ev.ending.Result,
		Duration:   ev.duration,
		LoadReport: ev.ending.LoadReport,
	})
}
