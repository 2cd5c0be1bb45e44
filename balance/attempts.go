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
	resultRecorded bool // its response has started, and the result was recorded then
	abandoned      bool // cancelled: the endpoint responded to newer attempts, or its zone is unreachable
	// inFlightBefore is the number of requests in flight at the endpoint before the attempt, according to a
	// fresh load report, or unknownInFlight.
	inFlightBefore float64
}

// noAttempt is the index of no attempt.
const noAttempt = -1

// overtaken reports whether the endpoint has responded to an attempt that was sent later.
func (a *attempt) overtaken() bool { return a.endpoint.activity.newestRespondedSentAt > a.sentAt }

// sendAttempt sends a request to an endpoint.
func (b *Balancer) sendAttempt(req *request, ep *endpoint) {
	attempt := &attempt{endpoint: ep, sentAt: b.now, inFlight: true, inFlightBefore: unknownInFlight}
	if b.hasFreshReport(ep) {
		attempt.inFlightBefore = b.estimatedInFlight(ep)
	}
	ep.slowStart.spend()
	ep.load.inFlight++
	ep.load.sentSinceReport++
	ep.activity.lastSendAt = b.now
	req.inFlight++
	req.attempts = append(req.attempts, attempt)
	if !req.Uploading {
		b.load.add(req, attempt)
	}
	b.emit(Action{Kind: SendAttempt, Request: req.ID, Endpoint: ep.ID})
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

// onOutcome handles the end of an attempt.
func (b *Balancer) onOutcome(ev Outcome) error {
	req := b.requests[ev.Request]
	if req == nil || req.attemptInFlight(ev.Attempt) == nil {
		return &UnknownAttemptError{Request: ev.Request, Attempt: ev.Attempt}
	}
	attempt := req.attempts[ev.Attempt]
	b.endAttempt(req, attempt, ev)
	req.noRetry = req.noRetry || ev.NoRetry
	if !attempt.resultRecorded || ev.Result != OK {
		b.recordOutcome(req, attempt, ev)
	}
	if req.done || ev.Finished || req.streaming {
		b.finishRequest(req)
	}
	b.advance(req)
	return nil
}

// endAttempt removes an attempt from what is in flight.
func (b *Balancer) endAttempt(req *request, attempt *attempt, ev Outcome) {
	attempt.inFlight = false
	attempt.neverExecuted = ev.Result.NeverExecuted()
	attempt.connReset = ev.Result == ConnReset
	attempt.endpoint.load.inFlight--
	b.load.remove(req, attempt)
	req.inFlight--
	b.recordLoadReport(attempt.endpoint, ev.LoadReport)
	b.connectFailures.record(ev.Result == ConnectFailed)
}

// onUploadComplete starts the time of a request with a long body. Only now does it load its endpoint.
func (b *Balancer) onUploadComplete(ev UploadComplete) {
	req := b.requests[ev.Request]
	if req == nil || req.done || !req.Uploading {
		return
	}
	req.noRetry = ev.BodyDiscarded
	req.Uploading = false
	req.arrivedAt = b.now
	req.deadline = b.now + ev.Remaining
	for _, a := range req.attempts {
		if a.inFlight {
			a.sentAt = b.now
			b.load.add(req, a)
		}
	}
	b.advance(req)
}

// onStreamStarted hands a request over to its client: it has no deadline and no retries any more.
func (b *Balancer) onStreamStarted(ev StreamStarted) {
	req := b.requests[ev.Request]
	if req == nil || req.done || req.streaming || ev.Attempt >= len(req.attempts) {
		return
	}
	req.streaming = true
	b.cancelAttempts(req, ev.Attempt)
	b.recordResponseStart(req, ev.Attempt, ev.Latency)
}

// onResponseStarted handles the start of a successful response.
func (b *Balancer) onResponseStarted(ev ResponseStarted) {
	req := b.requests[ev.Request]
	if req == nil || ev.Attempt >= len(req.attempts) {
		return
	}
	b.recordResponseStart(req, ev.Attempt, ev.Latency)
	b.advance(req)
}

// recordResponseStart records the result of an attempt when its response starts. The rest is transfer: it
// is no load for the endpoint, and never overdue.
func (b *Balancer) recordResponseStart(req *request, index int, latency Milliseconds) {
	attempt := req.attemptInFlight(index)
	if attempt == nil || attempt.resultRecorded {
		return
	}
	b.load.remove(req, attempt)
	attempt.overdue = false
	b.recordOutcome(req, attempt, Outcome{Result: OK, Duration: latency})
	attempt.resultRecorded = true
}
