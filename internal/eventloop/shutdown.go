package eventloop

import "time"

// Steps from SIGTERM to exit:
//
//  1. Package sidecar receives the signal. It stops taking part in upgrades, logs "ending", and stores the time limits
//     of the shutdown (exchange.ShutdownTimes) and ShuttingDown in the shared exchange.ServiceState. The readiness
//     check fails from then on.
//  2. Package downstream accepts connections for a short time, or leaves new ones to the successor in an upgrade. Each
//     connection is closed after its next response.
//  3. The loop continues as before: requests that have arrived, and those that still arrive, are admitted, retried and
//     rejected by the same rules. A request that is complete only after ShutdownTimes.LateAfter is late:
//     limitLateRequest limits its time so that it has its response by ShutdownTimes.RespondBy, and startStream gives it
//     no streamed response.
//  4. When no connection is open, or at ShutdownTimes.EndBy, package downstream returns. It waits longer only for
//     responses that are being written.
//  5. Package sidecar cancels the context passed to New. That cancels all attempts and health checks; Run waits for
//     their goroutines and returns. Events that are posted later are dropped.
//  6. Package sidecar closes the pool of upstream connections, and the process exits.

// limitLateRequest limits the time of a request that was complete at completeAt, if that was late in a shutdown.
// Otherwise the process could be killed before the response is sent, which the client would see as a reset connection.
func (l *Loop) limitLateRequest(req *request, completeAt time.Time) {
	shutdown := l.serviceState.Shutdown.Load()
	if shutdown == nil || !completeAt.After(shutdown.LateAfter) {
		return
	}
	req.limitToShutdown(l.clock.toMilliseconds(shutdown.RespondBy) - l.clock.now)
}
