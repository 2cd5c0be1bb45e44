package soak

import (
	"time"

	"cindersaddle/internal/standin"
)

// disconnectSlack is how long a sidecar may take to detect that a client has closed its connection.
const disconnectSlack = 100 * time.Millisecond

// checkClientsDisconnected checks RuleClientDisconnected: no attempt begins after its client has disconnected.
//
// An attempt begins when the endpoint receives its first byte. The rule applies from disconnectSlack after the client
// closed its connection until the end of the run.
func (j *judge) checkClientsDisconnected() {
	j.forEachKnownAttempt(func(e *Exchange, attempt *Attempt) {
		if e.Outcome != standin.ExchangeClientDisconnected {
			return
		}
		if after := attempt.FirstByteAt.Sub(e.EndedAt); after > disconnectSlack+recordSlack {
			j.report(RuleClientDisconnected, e.TraceID, "endpoint %s received the request %v after its client had disconnected",
				attempt.Endpoint, after)
		}
	})
}
