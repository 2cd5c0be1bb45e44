package eventloop

import (
	"log/slog"

	"cindersaddle/balance"
)

// logFailedAttempt logs an attempt that did not succeed. duration is the time from sending the attempt to its end, or
// to the start of its response if that was streamed.
func (l *Loop) logFailedAttempt(req *request, ev *attemptEnded, duration balance.Milliseconds) {
	if ev.outcome.Result == balance.OK {
		return
	}
	endpoint := ""
	if ev.attempt.Endpoint != nil {
		endpoint = ev.attempt.Endpoint.Name
	}
	l.log.Info("attempt failed",
		"request", req.exchange.TraceID, "attempt", ev.attempt.Number, "endpoint", endpoint,
		"outcome", ev.outcome.Result, "duration_ms", duration, "streamed", ev.attempt.StreamLatency > 0,
		"client_disconnected", ev.outcome.ClientDisconnected, "request_done", !req.awaitsResponse(),
		"request_written", ev.attempt.RequestWritten(), "response_started", ev.attempt.ResponseStarted(),
		"error", ev.outcome.Err)
}

// logRetriedUpload logs that a retry has sent the last byte of a long body to the kernel, and how many bytes the endpoint's
// machine had not received then.
func (l *Loop) logRetriedUpload(ev uploadSent) {
	req := l.requests.byID[ev.attempt.RequestID]
	if req == nil || ev.attempt.Number == 0 {
		return
	}
	l.log.Info("retry sent a long body", "request", req.exchange.TraceID, "attempt", ev.attempt.Number,
		"endpoint", ev.attempt.Endpoint.Name, "unacknowledged_bytes", ev.sent.Unacknowledged)
}

// logUnserved logs why a request ends without a response from an endpoint. It logs nothing if the request already has
// its final response.
func (l *Loop) logUnserved(req *request, level slog.Level, reason unservedReason) {
	if req == nil || !req.awaitsResponse() {
		return
	}
	l.log.Log(l.ctx, level, "request not served", "reason", reason, "request", req.exchange.TraceID,
		"attempts", len(req.attempts.byNumber), "in_flight", req.attempts.inFlight,
		"uploading", req.isUploading(), "remaining_ms", req.remaining(l.clock.now))
}
