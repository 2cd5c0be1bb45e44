package soak

import "time"

// expirySlack is how long a request may take from a sidecar, which states the remaining time, until an endpoint has read it.
const expirySlack = 150 * time.Millisecond

// checkExpiry checks RuleExpiry: the remaining time that an attempt states is at most what its client still waits.
//
// It holds for each attempt of a request that was written completely, from the last byte that the client wrote to the last byte
// that the endpoint read. The attempt may state expirySlack more, as it is written before it is read.
func (j *judge) checkExpiry() {
	j.forEachKnownAttempt(func(e *Exchange, attempt *Attempt) {
		remaining := e.SentAt.Add(e.Deadline).Sub(attempt.LastByteAt)
		if attempt.ExpiresIn > max(0, remaining)+expirySlack+recordSlack && !e.SentAt.IsZero() {
			j.report(RuleExpiry, e.TraceID, "attempt at endpoint %s states %v, and %v remain", attempt.Endpoint, attempt.ExpiresIn, remaining)
		}
	})
}
