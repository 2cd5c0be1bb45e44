package balance

// This file defines whether and where a request may be retried. The rule depends on the idempotency of the
// class and on whether an earlier attempt may have been executed:
//
//	                  not executed           possibly executed
//	                  (NeverExecuted)        (in flight, timed out, reset, cancelled, error response)
//	Idempotent        retry at any endpoint  retry at any endpoint
//	IdempotencyKey    retry at any endpoint  retry within DedupWindow, at endpoints of the same DedupScope;
//	                                         they must receive the complete request within it (sendLimit)
//	NonIdempotent     retry at any endpoint  no retry
//
// In addition, the number of attempts is limited, and each endpoint gets at most one attempt of a request.
//
// A client that retries a rejected request may reach any endpoint. If the request may have been executed, and
// its class is not Idempotent, this is only safe with a DedupScope of DedupAll.

const (
	// maxRetriesExceptResets is the maximum number of retries of a request, not counting those after broken
	// connections.
	// More retries would multiply the load on an overloaded fleet.
	maxRetriesExceptResets = 1
	// maxResetRetries is the maximum number of retries of a request after broken connections. It is higher,
	// because a broken connection is not a sign of overload. attemptsRuledOut applies it.
	maxResetRetries = 3
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (r Result) NeverExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotAttempted
}

// idempotencyAllowsRetry reports whether the idempotency of the class allows another attempt, regardless of
// the endpoint and of the number of attempts.
func (req *request) idempotencyAllowsRetry(now Milliseconds) bool {
	for _, a := range req.attempts {
		if !a.neverExecuted && !req.mayRetryAfterExecution(a, now) {
			return false
		}
	}
	return true
}

// mayRetryAfterExecution reports whether the idempotency of the class allows a retry, given an earlier
// attempt that may have been executed.
func (req *request) mayRetryAfterExecution(earlier *attempt, now Milliseconds) bool {
	switch req.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotencyKey: // after the window, endpoints may have forgotten the key
		return now+req.estimatedReadTime(earlier, now) < req.dedupWindowEnd(earlier)
	}
	return true
}

// estimatedReadTime returns how long an endpoint may take to read the request: no time for a short one. An
// endpoint that may have executed a request with a long body has read it by the end of that attempt, and
// another one is expected to take as long. Nothing reports how much the program at the endpoint has read: its
// machine accepts bytes that the program reads later.
func (req *request) estimatedReadTime(earlier *attempt, now Milliseconds) Milliseconds {
	if !req.longBody {
		return 0
	}
	return earlier.duration(now)
}

// dedupWindowEnd returns when endpoints may forget the key of a request that an attempt may have executed.
func (req *request) dedupWindowEnd(earlier *attempt) Milliseconds {
	return earlier.sentAt + req.class.DedupWindow
}

// sendLimit returns when an endpoint must have received the complete request of the next attempt, or 0 if
// there is no limit. An endpoint executes a request when its last byte has arrived, which may be long after
// the start of the attempt. If that is after the dedup window of an attempt that may have been executed, the
// request may be executed twice.
func (req *request) sendLimit() Milliseconds {
	if req.class.Idempotency != IdempotencyKey {
		return 0
	}
	limit := never
	for _, a := range req.attempts {
		if !a.neverExecuted {
			limit = min(limit, req.dedupWindowEnd(a))
		}
	}
	if limit == never {
		return 0
	}
	return limit
}

// mayAttemptAt reports whether the next attempt may go to an endpoint. The endpoint must not have had an
// attempt of the request, and must be in the dedup scope of all attempts that may have been executed.
func (req *request) mayAttemptAt(ep *endpoint, now Milliseconds) bool {
	for _, a := range req.attempts {
		if a.endpoint == ep {
			return false
		}
		if a.neverExecuted || req.class.Idempotency != IdempotencyKey {
			continue
		}
		if !req.mayRetryAfterExecution(a, now) || !req.class.DedupScope.sharesKeys(a.endpoint, ep) {
			return false
		}
	}
	return true
}

// clientMayRetry reports whether a retry by the client is safe. If so, the request can be rejected instead of
// failed.
func (req *request) clientMayRetry() bool {
	switch {
	case req.class.Idempotency == Idempotent:
		return true
	case req.class.Idempotency == IdempotencyKey && req.class.DedupScope == DedupAll:
		return true
	}
	return !req.mayHaveExecuted()
}

// mayHaveExecuted reports whether any attempt may have been executed: it is in flight, or it ended without
// proof that it was not executed.
func (req *request) mayHaveExecuted() bool {
	for _, a := range req.attempts {
		if !a.neverExecuted {
			return true
		}
	}
	return false
}

// attemptsExhausted reports whether no further attempt is possible, because of the number of attempts or
// because an earlier outcome ruled it out (noRetry). It does not apply maxResetRetries; see
// attemptsRuledOut.
func (req *request) attemptsExhausted() bool {
	attemptCount := len(req.attempts)
	if req.noRetry || attemptCount >= req.MaxAttempts {
		return true
	}
	return attemptCount-req.resetCount() > maxRetriesExceptResets
}

// resetCount returns the number of attempts whose connection broke.
func (req *request) resetCount() int {
	count := 0
	for _, a := range req.attempts {
		if a.connReset {
			count++
		}
	}
	return count
}

// sharesKeys reports whether two endpoints share their memory of idempotency keys.
func (scope DedupScope) sharesKeys(first, second *endpoint) bool {
	switch scope {
	case DedupCell:
		return first.Cell == second.Cell
	case DedupZone:
		return first.Zone == second.Zone
	}
	return true
}

// attemptsRuledOut reports whether a request without an attempt in flight can get no further attempt,
// whichever endpoints are available.
func (b *Balancer) attemptsRuledOut(req *request) bool {
	return req.attemptsExhausted() || req.resetCount() > maxResetRetries || !req.idempotencyAllowsRetry(b.now)
}

// canRetryInTime reports whether the attempt in flight can be cancelled for a retry: a retry is allowed,
// another endpoint is eligible and not ejected, and even a response that is slow for the class would arrive
// before the client gives up. The attempt in flight may still be answered, so it is not given up for less.
func (b *Balancer) canRetryInTime(req *request) bool {
	if req.attemptsExhausted() || !req.idempotencyAllowsRetry(b.now) {
		return false
	}
	if !b.cfg.Cancellation || req.inFlight > 1 || !b.hasTimeForRetry(req) {
		return false
	}
	for _, ep := range b.endpoints.list {
		if b.eligibleAndNotEjected(req, ep) {
			return true
		}
	}
	return false
}

// hasTimeForRetry reports whether an attempt sent now would become overdue before the client gives up.
func (b *Balancer) hasTimeForRetry(req *request) bool {
	return b.now+b.overdueAfter(req) <= req.deadline
}

// triedAllReady reports whether there are ready endpoints, but the retry policy allows no attempt at any of
// them: the request has been tried at all that may get it. An attempt that was not made, for lack of a
// connection for instance, is no such trial.
func (b *Balancer) triedAllReady(req *request) bool {
	for _, a := range req.attempts {
		if a.notAttempted {
			return false
		}
	}
	anyReady := false
	for _, ep := range b.endpoints.list {
		if b.eligible(req, ep) {
			return false
		}
		anyReady = anyReady || ep.State == Ready
	}
	return anyReady
}

// wouldMissDeadline reports whether the response to an attempt sent now would probably arrive after the
// client has given up.
func (b *Balancer) wouldMissDeadline(req *request) bool {
	return b.now+req.stats.meanLatency > req.deadline
}
