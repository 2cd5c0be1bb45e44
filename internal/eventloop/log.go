package eventloop

import "cindersaddle/balance"

// logFailedAttempt logs an attempt that brought no good response.
func (l *Loop) logFailedAttempt(req *request, ev *attemptEnd, duration balance.Milliseconds) {
	if ev.result.Outcome == balance.OK {
		return
	}
	server := ""
	if ev.attempt.Endpoint != nil {
		server = ev.attempt.Endpoint.Name
	}
	l.log.Info("attempt failed",
		"request", req.exchange.TraceID, "attempt", ev.attempt.Number, "server", server,
		"outcome", ev.result.Outcome, "after_ms", duration, "streamed", ev.attempt.StreamLatency > 0,
		"client_gone", ev.result.ClientGone, "answered", req.done, "error", ev.result.Err)
}

// logUnserved logs a request that is answered without a server's response.
func (l *Loop) logUnserved(req *request, event string) {
	if req == nil || req.done {
		return
	}
	left := req.exchange.Request.Remaining // while its long body comes, its time has not begun
	if !req.uploading {
		left = req.deadline - l.clock.now
	}
	l.log.Info(event, "request", req.exchange.TraceID, "attempts", len(req.attempts), "in_flight", req.inFlight,
		"uploading", req.uploading, "left_ms", left)
}
