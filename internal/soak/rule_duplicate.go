package soak

import (
	"math"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// checkDuplicates checks RuleDuplicate: a request has at most one attempt in flight at a time, and is retried only as
// far as its idempotency permits. Each attempt is compared with the previous attempt of the same request:
//
//   - By the records of the endpoints, the two attempts overlap by at most recordSlack. This does not apply if an event
//     may have broken the connection of the earlier attempt, because the endpoint may still execute that attempt after
//     the sidecar has seen the connection end.
//   - If the earlier attempt may have been executed, a non-idempotent request is not retried. A request with an
//     idempotency key is retried only at an endpoint of the same cell and within the dedup window, with recordSlack
//     for reading both attempts.
//
// The rule applies to the whole run, except when the sidecar was killed without SIGTERM between the two attempts:
// the client has then sent the request again.
func (j *judge) checkDuplicates() {
	for traceID, attempts := range j.attempts {
		exchange, sent := j.exchanges[traceID]
		if !sent {
			continue
		}
		for i := 1; i < len(attempts); i++ {
			j.checkDuplicate(&exchange, &attempts[i-1], &attempts[i])
		}
	}
}

func (j *judge) checkDuplicate(e *Exchange, earlier, attempt *Attempt) {
	if j.killedBetween(e.Sidecar, earlier.FirstByteAt, attempt.FirstByteAt) {
		return
	}
	if overlap(earlier, attempt) > recordSlack && !j.connectionBroken(earlier) {
		j.report(RuleDuplicate, e.TraceID, "endpoint %s received the request while an attempt was open at endpoint %s",
			attempt.Endpoint, earlier.Endpoint)
	}
	if earlier.Outcome != standin.AttemptNeverExecuted {
		j.checkRetry(e, earlier, attempt)
	}
}

// checkRetry checks whether an attempt is permitted after an earlier one that may have been executed.
func (j *judge) checkRetry(e *Exchange, earlier, attempt *Attempt) {
	switch e.Idempotency {
	case balance.NonIdempotent:
		j.report(RuleDuplicate, e.TraceID,
			"non-idempotent request may have been executed at endpoint %s before endpoint %s received it",
			earlier.Endpoint, attempt.Endpoint)
	case balance.IdempotencyKey:
		window := j.Plan.Settings.dedupWindow(e.Class)
		if elapsed := attempt.LastByteAt.Sub(earlier.LastByteAt); elapsed > window+recordSlack {
			j.report(RuleDuplicate, e.TraceID, "retried %v after endpoint %s received the request; the dedup window is %v",
				elapsed, earlier.Endpoint, window)
		}
		if j.Cells[earlier.Endpoint] != j.Cells[attempt.Endpoint] {
			j.report(RuleDuplicate, e.TraceID, "retried at endpoint %s, which is not in the cell of endpoint %s",
				attempt.Endpoint, earlier.Endpoint)
		}
	}
}

// overlap returns how long two attempts were open at the same time, by the records of their endpoints. It is negative
// if they did not overlap, and then states the time between them.
func overlap(a, b *Attempt) time.Duration {
	beganAt, endedAt := a.FirstByteAt, a.EndedAt
	if b.FirstByteAt.After(beganAt) {
		beganAt = b.FirstByteAt
	}
	if endedAt.IsZero() || !b.EndedAt.IsZero() && b.EndedAt.Before(endedAt) {
		endedAt = b.EndedAt
	}
	if endedAt.IsZero() { // both attempts are still open at the end of the run
		return math.MaxInt64
	}
	return endedAt.Sub(beganAt)
}
