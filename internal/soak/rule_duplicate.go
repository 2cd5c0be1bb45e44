package soak

import (
	"math"
	"time"

	"cindersaddle/balance"
	"cindersaddle/internal/standin"
)

// checkDuplicates checks RuleDuplicate: a request has one attempt in flight at a time, and is retried only as its idempotency
// permits. It compares each attempt with the one before.
//
//   - Two attempts overlap by recordSlack at most, by the records of the endpoints. Excused is an earlier attempt whose
//     connection an event may have broken: the endpoint may run it after the sidecar has seen its end.
//   - After an attempt that may have been executed, a non-idempotent request has no further one. One with an idempotency key has
//     it only at an endpoint of the same cell, and within the deduplication window, with recordSlack for the reading of both.
//
// It holds for the whole run. Excused is a request whose sidecar was killed without SIGTERM between the two attempts: its client
// has sent it again.
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
		j.report(RuleDuplicate, e.TraceID, "endpoint %s received it while endpoint %s had it", attempt.Endpoint, earlier.Endpoint)
	}
	if earlier.End != standin.AttemptNeverExecuted {
		j.checkRetry(e, earlier, attempt)
	}
}

// checkRetry checks an attempt after an earlier one that may have been executed.
func (j *judge) checkRetry(e *Exchange, earlier, attempt *Attempt) {
	switch e.Idempotency {
	case balance.NonIdempotent:
		j.report(RuleDuplicate, e.TraceID, "not idempotent, and may have been executed at endpoint %s before endpoint %s received it",
			earlier.Endpoint, attempt.Endpoint)
	case balance.IdempotencyKey:
		window := j.Plan.Settings.dedupWindow(e.Class)
		if since := attempt.LastByteAt.Sub(earlier.LastByteAt); since > window+recordSlack {
			j.report(RuleDuplicate, e.TraceID, "retried %v after endpoint %s received it; the deduplication window is %v",
				since, earlier.Endpoint, window)
		}
		if j.Cells[earlier.Endpoint] != j.Cells[attempt.Endpoint] {
			j.report(RuleDuplicate, e.TraceID, "retried at endpoint %s, in another cell than endpoint %s", attempt.Endpoint, earlier.Endpoint)
		}
	}
}

// overlap returns how long two attempts were open at the same time by the records of their endpoints; negative: the time
// between them.
func overlap(a, b *Attempt) time.Duration {
	beganAt, endedAt := a.FirstByteAt, a.EndedAt
	if b.FirstByteAt.After(beganAt) {
		beganAt = b.FirstByteAt
	}
	if endedAt.IsZero() || !b.EndedAt.IsZero() && b.EndedAt.Before(endedAt) {
		endedAt = b.EndedAt
	}
	if endedAt.IsZero() { // both are open at the end of the run
		return math.MaxInt64
	}
	return endedAt.Sub(beganAt)
}
