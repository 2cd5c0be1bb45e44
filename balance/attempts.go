package balance

// attempt is one attempt of a request at an endpoint.
type attempt struct {
	endpoint        *endpoint
	startedAt       Milliseconds
	endedAt         Milliseconds // set when it is no longer in flight
	sentAt          Milliseconds // when it started, or when the last byte of a long body was sent
	timeLimit       Milliseconds // how long most clients of its class waited when it was sent
	requiredRate    float64      // its share of the load; see classStats.requiredRate
	inFlight        bool
	neverExecuted   bool // its result proves that it was not executed
	notAttempted    bool // its result is NotAttempted
	connReset       bool // it ended because its connection broke
	overdue         bool // it takes far longer than usual for its class
	countedAsLoad   bool // it is counted in the endpoint's load or in the overdue load
	resultRecorded  bool // its result was recorded when its response started
	lengthUnknown   bool // its response has started, and its length is not known
	cancelledAsLost bool // cancelled because it is presumed lost or its zone is unreachable
	// inFlightBefore is the number of requests in flight at the endpoint before the attempt was sent,
	// according to a fresh load report, or unknownInFlight.
	inFlightBefore float64
}

// keepNone is passed to cancelAttempts to keep no attempt: all attempts in flight are cancelled.
const keepNone = -1

// presumedLost reports whether an overdue attempt is probably lost: the endpoint has responded to an attempt
// that was sent later.
func (a *attempt) presumedLost() bool { return a.endpoint.activity.latestSuccessSentAt > a.sentAt }

// duration returns how long the attempt has taken so far, or took.
func (a *attempt) duration(now Milliseconds) Milliseconds {
	if a.inFlight {
		return now - a.startedAt
	}
	return a.endedAt - a.startedAt
}

// sendAttempt sends a request to an endpoint.
func (b *Balancer) sendAttempt(req *request, ep *endpoint) {
	attempt := &attempt{
		endpoint: ep, startedAt: b.now, sentAt: b.now, inFlight: true, inFlightBefore: unknownInFlight,
		timeLimit: req.stats.timeLimit(), requiredRate: req.stats.requiredRate(),
	}
	if b.hasFreshReport(ep) {
		attempt.inFlightBefore = b.estimatedInFlight(ep)
	}
	sendBy := req.sendLimit()
	ep.slowStart.takeToken()
	ep.load.inFlight++
	ep.load.sentSinceReport++
	ep.activity.lastSentAt = b.now
	req.inFlight++
	req.attempts = append(req.attempts, attempt)
	if !req.Uploading {
		b.load.add(attempt)
	}
	b.emit(Action{Kind: SendAttempt, Request: req.ID, Endpoint: ep.ID, SendBy: sendBy})
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
	b.recordAttemptEnd(req, attempt, ev)
	req.noRetry = req.noRetry || ev.NoRetry
	if !attempt.resultRecorded || ev.Result != OK {
		b.recordOutcome(req, attempt, ev)
	}
	if req.finished || ev.Finished || req.streaming {
		b.finishRequest(req)
	}
	b.advanceRequest(req)
	return nil
}

// recordAttemptEnd removes an attempt that ended from the counts of attempts in flight and from the load. It
// records the parts of the outcome that recordOutcome does not: the load report, and failures to connect.
func (b *Balancer) recordAttemptEnd(req *request, attempt *attempt, ev Outcome) {
	attempt.inFlight = false
	attempt.endedAt = b.now
	attempt.neverExecuted = ev.Incomplete || ev.Result.NeverExecuted()
	attempt.connReset = ev.Result == ConnReset
	attempt.notAttempted = ev.Result == NotAttempted
	attempt.endpoint.load.inFlight--
	b.load.remove(attempt)
	req.inFlight--
	b.recordLoadReport(attempt.endpoint, ev.LoadReport)
	b.connectFailures.recordAttempt(ev.Result == ConnectFailed)
}

// onUploadComplete handles the end of an upload. The deadline and the latency of the request count from now
// on. Its attempts in flight are counted as load only now, because an upload does not load the endpoint.
func (b *Balancer) onUploadComplete(ev UploadComplete) {
	req := b.requests[ev.Request]
	if req == nil || req.finished || !req.Uploading {
		return
	}
	req.noRetry = ev.BodyDiscarded
	req.Uploading = false
	req.arrivedAt = b.now
	req.Remaining = ev.Remaining
	req.deadline = b.now + ev.Remaining
	for _, a := range req.attempts {
		if a.inFlight {
			a.sentAt = b.now - ev.SinceSent
			b.load.add(a)
		}
	}
	b.advanceRequest(req)
}

// onStreamStarted handles the start of a streamed response. The request has no deadline from now on, because
// the client decides how long the stream lasts, and is not retried.
func (b *Balancer) onStreamStarted(ev StreamStarted) {
	req := b.requests[ev.Request]
	if req == nil || req.finished || req.streaming || ev.Attempt >= len(req.attempts) {
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
	req.attempts[ev.Attempt].lengthUnknown = ev.LengthUnknown
	b.recordResponseStart(req, ev.Attempt, ev.Latency)
	b.advanceRequest(req)
}

// recordResponseStart records the result of an attempt when its response starts. The transfer of the
// remaining response is not counted as load of the endpoint and is never overdue.
func (b *Balancer) recordResponseStart(req *request, index int, latency Milliseconds) {
	attempt := req.attemptInFlight(index)
	if attempt == nil || attempt.resultRecorded {
		return
	}
	b.load.remove(attempt)
	attempt.overdue = false
	b.recordOutcome(req, attempt, Outcome{Result: OK, Duration: latency})
	attempt.resultRecorded = true
}
