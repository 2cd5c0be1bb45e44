package balance

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint       *endpoint
	sentAt         Milliseconds
	inFlight       bool
	neverExecuted  bool // proven by its result
	connReset      bool // its connection broke
	overdue        bool // it takes far longer than is usual in its class
	countedAsLoad  bool // it is part of the endpoint's load, or of the overdue load
	resultRecorded bool // its answer has started, and the result was recorded then
	abandoned      bool // cancelled: the endpoint answered newer attempts, or its zone is unreachable
	// inFlightBefore is the number of requests in flight at the endpoint before the attempt, according to a
	// fresh load report, or unknownInFlight.
	inFlightBefore float64
}

// unknownInFlight stands for a number of requests in flight that no fresh load report gives.
const unknownInFlight = -1

// overtaken reports whether the endpoint has answered an attempt that was sent later.
func (a *attempt) overtaken() bool { return a.endpoint.newestAnsweredSentAt > a.sentAt }

// request is the state of an open request.
type request struct {
	Request
	class            *Class
	stats            *classStats
	tenant           *requestCounter
	arrivedAt        Milliseconds
	deadline         Milliseconds
	attempts         []*attempt
	inFlight         int // attempts in flight
	done             bool
	streaming        bool
	bodyDiscarded    bool         // the body sent was not retained: no further attempt is possible
	nextTimerAt      Milliseconds // when its timer fires; +Inf: no timer is set
	checkedEndpoints []*endpoint  // endpoints health-checked before the first attempt
	awaitChecksUntil Milliseconds // how long the first attempt waits for these health checks
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

// attemptInFlight returns an attempt that is in flight, or nil if there is none with this index.
func (req *request) attemptInFlight(index int) *attempt {
	if index >= len(req.attempts) || !req.attempts[index].inFlight {
		return nil
	}
	return req.attempts[index]
}

// openRequest registers a new request.
func (b *Balancer) openRequest(ev Request) *request {
	req := &request{
		Request:     ev,
		class:       ev.ClassOverride,
		tenant:      b.tenantCounter(ev.Tenant),
		arrivedAt:   b.now,
		deadline:    b.now + ev.Remaining,
		nextTimerAt: never,
	}
	if req.class == nil {
		req.class = &b.cfg.Classes[ev.Class]
		req.stats = b.classes[ev.Class]
	} else { // statistics of its own: it says nothing about a class of the present configuration
		req.stats = newClassStats(req.class, -1)
	}
	if req.MaxAttempts == 0 {
		req.MaxAttempts = b.cfg.MaxAttempts
	}
	if req.Uploading {
		req.arrivedAt = never
		req.deadline = never
	}
	b.requests[ev.ID] = req
	if req.StickyKey != 0 {
		b.countKey(req.StickyKey)
	}
	req.stats.count++
	req.stats.longestTimeout = max(req.stats.longestTimeout, req.Remaining)
	req.tenant.count++
	return req
}

// finishRequest marks a request as answered and cancels its attempts that are in flight.
func (b *Balancer) finishRequest(req *request) {
	req.done = true
	b.cancelAttempts(req, -1)
	if req.inFlight == 0 {
		delete(b.requests, req.ID)
	}
}

// cancelAttempts cancels the attempts of a request that are in flight, except the one with index keep.
func (b *Balancer) cancelAttempts(req *request, keep int) {
	if !b.cfg.Cancellation {
		return
	}
	for i, a := range req.attempts {
		if a.inFlight && i != keep {
			b.emit(Action{Kind: CancelAttempt, Request: req.ID, Attempt: i})
		}
	}
}

// attemptKind distinguishes the first attempt of a request from its retries.
type attemptKind bool

const (
	firstAttempt attemptKind = false
	retryAttempt attemptKind = true
)

// nextAttemptKind returns the kind of a request's next attempt.
func (req *request) nextAttemptKind() attemptKind { return len(req.attempts) > 0 }
