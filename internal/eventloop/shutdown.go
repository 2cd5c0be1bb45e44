package eventloop

import (
	"time"

	"cindersaddle/balance"
)

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
//     no streamed response. The same holds for a request whose long body has not been sent completely by LateAfter
//     (limitLateUpload).
//  4. When no connection is open, or at ShutdownTimes.EndBy, package downstream returns. It waits longer only for
//     responses that are being written.
//  5. Package sidecar cancels the context passed to New. That cancels all attempts and health checks; Run waits for
//     their goroutines and returns. Events that are posted later are dropped.
//  6. Package sidecar closes the pool of upstream connections, and the process exits.

// limitLateRequest limits the time of a request that was complete at completeAt, if that was late in a shutdown.
// Otherwise the process could be killed before the response is sent, which the client would see as a reset connection.
func (l *Loop) limitLateRequest(req *request, completeAt time.Time) {
	if respondBy, late := l.respondBy(completeAt); late {
		req.lateInShutdown = true
		req.limitRemaining(respondBy - l.clock.now)
	}
}

// limitLateUpload returns the deadline of a request in stateUploading, which must have its response by then: deadline, or
// ShutdownTimes.RespondBy if that is earlier and the request is late in a shutdown. Its last byte may be written at any moment,
// without being seen: while the endpoint accepts nothing, it waits in the buffers of the kernel.
func (l *Loop) limitLateUpload(req *request, deadline balance.Milliseconds) balance.Milliseconds {
	respondBy, late := l.respondBy(l.clock.toTime(l.clock.now))
	if !late {
		return deadline
	}
	req.lateInShutdown = true
	return min(deadline, respondBy)
}

// respondBy is ShutdownTimes.ResponseLimit on the loop's clock.
func (l *Loop) respondBy(completeAt time.Time) (respondBy balance.Milliseconds, late bool) {
	limit, late := l.serviceState.Shutdown.Load().ResponseLimit(completeAt)
	return l.clock.toMilliseconds(limit), late
}
