package soak

import "time"

// expirySlack is how long it may take from when the sidecar writes the remaining time into the request until the
// endpoint has read the request.
const expirySlack = 150 * time.Millisecond

// checkExpiry checks RuleExpiry: the remaining time stated by an attempt is at most the time that its client still
// waits.
//
// The rule applies to each attempt of a request that the client wrote completely. The client's deadline counts from the
// last byte that it wrote, and the remaining time is that from the last byte that the endpoint read until the deadline.
// An attempt may state up to expirySlack more, because the sidecar writes the time before the endpoint reads it.
func (j *judge) checkExpiry() {
	j.forEachKnownAttempt(func(e *Exchange, attempt *Attempt) {
		remaining := e.SentAt.Add(e.Deadline).Sub(attempt.LastByteAt)
		if attempt.ExpiresIn > max(0, remaining)+expirySlack+recordSlack && !e.SentAt.IsZero() {
			j.report(RuleExpiry, e.TraceID,
				"attempt at endpoint %s states a remaining time of %v, want at most the time until the deadline (%v, "+
					"0 if negative) plus %v",
				attempt.Endpoint, attempt.ExpiresIn, remaining, expirySlack+recordSlack)
		}
	})
}
