package eventloop

import "time"

// From SIGTERM to exit:
//
//  1. Package sidecar notices the signal. It ends its part in an upgrade, logs "ending", and stores the limits of the shutdown
//     (exchange.ShutdownTimes) and ShuttingDown in the shared exchange.ServiceState. Readiness fails from then on.
//  2. Package downstream accepts for a short time, or leaves new connections to the successor of an upgrade. Each connection
//     is closed after its next response.
//  3. The loop runs on as before: the requests that have arrived, and those that still arrive, are admitted, retried and
//     rejected by the same rules. One that is complete after ShutdownTimes.LateAfter is late: limitLateRequest cuts its time,
//     so that it has its response by ShutdownTimes.RespondBy, and startStream gives it no long response.
//  4. When no connection is open, or at ShutdownTimes.EndBy, package downstream returns; it waits longer only for responses
//     that are being written.
//  5. Package sidecar cancels the context of New. Run cancels all attempts and health checks with it, waits for their
//     goroutines, and returns; events that are posted later are dropped.
//  6. Package sidecar closes the pool of connections to the endpoints, and the process exits.

// limitLateRequest bounds the time of a request that was complete, at a moment, late in a shutdown. It guards against a
// response that is lost because the process is killed before it was sent, which the client sees as a reset connection.
func (l *Loop) limitLateRequest(req *request, completeAt time.Time) {
	shutdown := l.serviceState.Shutdown.Load()
	if shutdown == nil || !completeAt.After(shutdown.LateAfter) {
		return
	}
	req.limitToShutdown(l.clock.toMilliseconds(shutdown.RespondBy) - l.clock.now)
}
