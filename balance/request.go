package balance

// request is the state of an open request. A request is open from its arrival until it has its final response
// and no attempt is in flight.
type request struct {
	Request
	class       *Class
	stats       *classStats
	tenant      *requestCounter
	arrivedAt   Milliseconds // when it arrived or its upload ended; never: the upload is not complete
	deadline    Milliseconds // never: the upload is not complete
	attempts    []*attempt
	inFlight    int          // attempts in flight, at most 1: advanceRequest sends one only if there is none
	finished    bool         // no further response or attempt is needed
	streaming   bool         // its streamed response has started: it has no deadline and no retries
	longBody    bool         // its body was still arriving when the request did
	noRetry     bool         // no further attempt: the body is no longer buffered, or too little time is left
	nextTimerAt Milliseconds // when its next timer fires; never: no timer is set

	checkedEndpoints []*endpoint  // endpoints that are health-checked before the first attempt
	awaitChecksUntil Milliseconds // until when the first attempt waits for these health checks
}

// attemptKind distinguishes the first attempt of a request from its retries.
type attemptKind bool

const (
	firstAttempt attemptKind = false
	retryAttempt attemptKind = true
)

// nextAttemptKind returns the kind of a request's next attempt.
func (req *request) nextAttemptKind() attemptKind { return len(req.attempts) > 0 }

// attemptInFlight returns an attempt that is in flight, or nil if there is none with this index.
func (req *request) attemptInFlight(index int) *attempt {
	if index >= len(req.attempts) || !req.attempts[index].inFlight {
		return nil
	}
	return req.attempts[index]
}

// onRequest handles a new request.
func (b *Balancer) onRequest(ev Request) error {
	if ev.ClassOverride == nil && (ev.Class < 0 || ev.Class >= len(b.cfg.Classes)) {
		return &UnknownClassError{Request: ev.ID, Class: ev.Class}
	}
	req := b.registerRequest(ev)
	if !b.admit(req) {
		b.rejectOrFail(req)
		return nil
	}
	b.checkCandidates(req)
	b.advanceRequest(req)
	return nil
}

// registerRequest registers a new request.
func (b *Balancer) registerRequest(ev Request) *request {
	req := &request{
		Request:     ev,
		class:       ev.ClassOverride,
		tenant:      b.tenantCounter(ev.Tenant),
		arrivedAt:   b.now,
		deadline:    b.now + ev.Remaining,
		nextTimerAt: never,
		longBody:    ev.Uploading,
	}
	if req.class == nil {
		req.class = &b.cfg.Classes[ev.Class]
		req.stats = b.classes[ev.Class]
	} else { // separate statistics: the request does not belong to a class of the current configuration
		req.stats = newClassStats(req.class, unconfiguredClass)
	}
	if req.MaxAttempts == 0 {
		req.MaxAttempts = b.cfg.MaxAttempts
	}
	if req.Uploading {
		req.arrivedAt = never
		req.deadline = never
	}
	b.requests[ev.ID] = req
	b.countRequest(req)
	return req
}

// countRequest adds a request to the statistics of its sticky key, class and tenant.
func (b *Balancer) countRequest(req *request) {
	if req.StickyKey != 0 {
		b.keys.record(req.StickyKey)
	}
	req.stats.recordRequest(req.Remaining)
	req.tenant.count++
}

// rejectOrFail ends a request without a response from an endpoint: load is shed (admit), no further attempt
// is allowed (attemptsRuledOut) or would be answered in time (attemptOrGiveUp), or the deadline has passed.
// The request is rejected if a retry by the client is safe, and failed otherwise.
func (b *Balancer) rejectOrFail(req *request) {
	action := Action{Kind: FailRequest, Request: req.ID}
	if req.clientMayRetry() {
		action.Kind = RejectRequest
		action.RetryAfter = min(b.retryAfter(req), b.cfg.MaxRetryAfter)
	}
	b.emit(action)
	b.finishRequest(req)
}

// minRetryAfter is the shortest Retry-After time of a rejected request.
const minRetryAfter Milliseconds = 25

// retryAfter returns when a client should repeat a rejected request: when the endpoints have worked off what
// they have in flight beyond the amount at which load is shed.
func (b *Balancer) retryAfter(req *request) Milliseconds {
	return max(req.stats.timeLimit().scaled(b.excessRatio()), minRetryAfter)
}

// finishRequest marks a request as finished and cancels its attempts in flight. The request is released once
// no attempt is in flight.
func (b *Balancer) finishRequest(req *request) {
	req.finished = true
	b.cancelAttempts(req, keepNone)
	if req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// onClientGone ends a request whose client has disconnected.
func (b *Balancer) onClientGone(ev ClientGone) {
	if req := b.requests[ev.Request]; req != nil {
		b.finishRequest(req)
	}
}
