package soak

import (
	"time"

	"cindersaddle/internal/standin"
)

// disconnectSlack is how long a sidecar may take to notice that a client has closed its connection.
const disconnectSlack = 100 * time.Millisecond

// checkClientsDisconnected checks RuleClientDisconnected: no attempt begins after its client has disconnected.
// It holds from disconnectSlack after the client closed its connection to the end of the run, by the first byte that the
// endpoint receives.
func (j *judge) checkClientsDisconnected() {
	j.forEachKnownAttempt(func(e *Exchange, attempt *Attempt) {
		if e.End != standin.ExchangeClientDisconnected {
			return
		}
		if after := attempt.FirstByteAt.Sub(e.EndedAt); after > disconnectSlack+recordSlack {
			j.report(RuleClientDisconnected, e.TraceID, "endpoint %s received it %v after its client had left", attempt.Endpoint, after)
		}
	})
}
