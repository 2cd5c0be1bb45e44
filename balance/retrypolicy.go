package balance

// This file holds the rules by which a request may be executed again, within the limits below. What an
// attempt may have done decides, by the idempotency of the class:
//
//	                  surely not executed    may have been executed
//	                  (NeverExecuted)        (in flight, timed out, reset, answered with an error)
//	Idempotent        again, anywhere        again, anywhere
//	IdempotencyKey    again, anywhere        again within DedupWindow, at endpoints of the DedupScope
//	NonIdempotent     again, anywhere        never
//
// Each endpoint gets one attempt of a request at most. A client may repeat a request that was rejected, at
// any endpoint: then the scope has to be DedupAll.

const (
	// maxRetriesExceptResets limits the retries of a request, but for those after broken connections: more of
	// them multiply the load of an overloaded fleet.
	maxRetriesExceptResets = 1
	// maxResetRetries limits the retries after broken connections, which are no sign of overload. mustEnd
	// applies it.
	maxResetRetries = 3
)

// NeverExecuted reports whether the result proves that the attempt was not executed.
func (r Result) NeverExecuted() bool {
	return r == Rejected || r == ConnectFailed || r == NotAttempted
}

// mayExecuteAgain reports whether the idempotency of the class allows another attempt at any endpoint at all.
func (req *request) mayExecuteAgain(now Milliseconds) bool {
	for _, a := range req.attempts {
		if !a.neverExecuted && !req.mayRepeat(a, now) {
			return false
		}
	}
	return true
}

// mayRepeat reports whether the class allows to repeat an attempt that may have been executed.
func (req *request) mayRepeat(executed *attempt, now Milliseconds) bool {
	switch req.class.Idempotency {
	case NonIdempotent:
		return false
	case IdempotencyKey: // later, endpoints may have forgotten the key
		return now < executed.sentAt+req.class.DedupWindow
	}
	return true
}

// mayExecuteAt reports whether the next attempt may go to an endpoint: one that had no attempt of the
// request, and that knows the idempotency key of those that may have been executed.
func (req *request) mayExecuteAt(ep *endpoint, now Milliseconds) bool {
	for _, a := range req.attempts {
		if a.endpoint == ep {
			return false
		}
		if a.neverExecuted || req.class.Idempotency != IdempotencyKey {
			continue
		}
		if !req.mayRepeat(a, now) || !req.class.DedupScope.includes(a.endpoint, ep) {
			return false
		}
	}
	return true
}

// clientMayRetry reports whether the client may repeat the request, so that it may be rejected rather than
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

// mayHaveExecuted reports whether an attempt is in flight, or ended without proof that it was not executed.
func (req *request) mayHaveExecuted() bool {
	for _, a := range req.attempts {
		if !a.neverExecuted {
			return true
		}
	}
	return false
}

// noMoreAttempts reports whether the number of attempts, or an earlier attempt that allows no other, rules
// out another attempt.
func (req *request) noMoreAttempts() bool {
	attemptCount := len(req.attempts)
	if req.noRetry || attemptCount >= req.MaxAttempts {
		return true
	}
	return attemptCount-req.resetCount() > maxRetriesExceptResets
}

// resetCount returns the number of attempts whose connections broke.
func (req *request) resetCount() int {
	count := 0
	for _, a := range req.attempts {
		if a.connReset {
			count++
		}
	}
	return count
}

// includes reports whether an endpoint knows the idempotency keys that another one has seen.
func (scope DedupScope) includes(seen, ep *endpoint) bool {
	switch scope {
	case DedupCell:
		return seen.Cell == ep.Cell
	case DedupZone:
		return seen.Zone == ep.Zone
	}
	return true
}

// mustEnd reports whether a request with no attempt in flight ends now: no further attempt is allowed, or
// waiting for an endpoint gains nothing.
func (b *Balancer) mustEnd(req *request) bool {
	if req.noMoreAttempts() || req.resetCount() > maxResetRetries || !req.mayExecuteAgain(b.now) {
		return true
	}
	return b.waitingIsUseless(req)
}

// waitingIsUseless reports whether a request has missed its latency objective while its client may retry by
// itself.
func (b *Balancer) waitingIsUseless(req *request) bool {
	return b.now >= req.arrivedAt+req.class.LatencyObjective && req.clientMayRetry()
}

// retryGains reports whether the attempt in flight may be given up for a retry: another endpoint may get
// the request, and could respond within the latency objective.
func (b *Balancer) retryGains(req *request) bool {
	if req.noMoreAttempts() || !req.mayExecuteAgain(b.now) {
		return false
	}
	if !b.cfg.Cancellation || req.inFlight > 1 || b.objectiveOutOfReach(req) {
		return false
	}
	for _, ep := range b.endpoints.list {
		if b.available(req, ep) {
			return true
		}
	}
	return false
}

// objectiveOutOfReach reports whether an attempt sent now would probably miss the latency objective or the
// deadline.
func (b *Balancer) objectiveOutOfReach(req *request) bool {
	patience := min(req.class.LatencyObjective, req.Remaining)
	return b.now+req.stats.meanLatency > req.arrivedAt+patience
}
