package soak

import (
	"time"

	"cindersaddle/internal/standin"
)

// clientLeftSlack is how long a sidecar may take to notice that a client has closed its connection.
const clientLeftSlack = 100 * time.Millisecond

// checkClientsLeft checks RuleClientLeft: no attempt begins after its client has left. It holds from clientLeftSlack after the
// client closed its connection to the end of the run, by the first byte that the endpoint receives.
func (j *judge) checkClientsLeft() {
	j.eachKnownAttempt(func(e *Exchange, attempt *Attempt) {
		if e.End != standin.ExchangeClientLeft {
			return
		}
		if after := attempt.FirstByteAt.Sub(e.EndedAt); after > clientLeftSlack+recordSlack {
			j.report(RuleClientLeft, e.TraceID, "endpoint %s received it %v after its client had left", attempt.Endpoint, after)
		}
	})
}
