package balance

// onOutcome handles the end of an attempt.
func (b *Balancer) onOutcome(ev Outcome) error {
	req := b.requests[ev.Request]
	if req == nil || req.attemptInFlight(ev.Attempt) == nil {
		return &UnknownAttemptError{Request: ev.Request, Attempt: ev.Attempt}
	}
	attempt := req.attempts[ev.Attempt]
	b.endAttempt(req, attempt, ev)
	req.bodyDiscarded = req.bodyDiscarded || ev.BodyDiscarded
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
	attempt.endpoint.inFlight--
	b.removeLoad(req, attempt)
	req.inFlight--
	b.recordLoadReport(attempt.endpoint, ev.LoadReport)
	b.connectFailureFraction -= b.connectFailureFraction / (averagingSamples / 2)
	if ev.Result == ConnectFailed {
		b.connectFailureFraction += 1. / (averagingSamples / 2)
	}
}

// sendAttempt sends a request to an endpoint.
func (b *Balancer) sendAttempt(req *request, ep *endpoint) {
	attempt := &attempt{endpoint: ep, sentAt: b.now, inFlight: true, inFlightBefore: unknownInFlight}
	if b.hasFreshReport(ep) {
		attempt.inFlightBefore = b.estimatedInFlight(ep)
	}
	ep.slowStartTokens--
	ep.inFlight++
	ep.lastSendAt = b.now
	ep.sentSinceReport++
	req.inFlight++
	req.attempts = append(req.attempts, attempt)
	if !req.Uploading {
		b.addLoad(req, attempt)
	}
	b.emit(Action{Kind: SendAttempt, Request: req.ID, Endpoint: ep.ID})
}

// onUploadComplete starts the time of a request with a long body. Only now does it load its endpoint.
func (b *Balancer) onUploadComplete(ev UploadComplete) {
	req := b.requests[ev.Request]
	if req == nil || req.done || !req.Uploading {
		return
	}
	req.bodyDiscarded = ev.BodyDiscarded
	req.Uploading = false
	req.arrivedAt = b.now
	req.deadline = b.now + ev.Remaining
	for _, a := range req.attempts {
		if a.inFlight {
			a.sentAt = b.now
			b.addLoad(req, a)
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

// onResponseStarted handles the start of a successful answer.
func (b *Balancer) onResponseStarted(ev ResponseStarted) {
	req := b.requests[ev.Request]
	if req == nil || ev.Attempt >= len(req.attempts) {
		return
	}
	b.recordResponseStart(req, ev.Attempt, ev.Latency)
	b.advance(req)
}

// recordResponseStart records the result of an attempt when its answer starts. The rest is transfer: it is no
// load for the endpoint, and never overdue.
func (b *Balancer) recordResponseStart(req *request, index int, latency Milliseconds) {
	attempt := req.attemptInFlight(index)
	if attempt == nil || attempt.resultRecorded {
		return
	}
	b.removeLoad(req, attempt)
	attempt.overdue = false
	b.recordOutcome(req, attempt, Outcome{Result: OK, Duration: latency})
	attempt.resultRecorded = true
}

// addLoad adds an attempt to the load of its endpoint, as 1 / latency objective.
func (b *Balancer) addLoad(req *request, attempt *attempt) {
	if attempt.countedAsLoad {
		return
	}
	attempt.countedAsLoad = true
	attempt.endpoint.inFlightLoad += 1 / float64(req.class.LatencyObjective)
}

// removeLoad removes an attempt from the load that it is counted in.
func (b *Balancer) removeLoad(req *request, attempt *attempt) {
	if !attempt.countedAsLoad {
		return
	}
	if attempt.overdue {
		b.moveToOverdueLoad(req, attempt, -1)
	}
	attempt.countedAsLoad = false
	attempt.endpoint.inFlightLoad -= 1 / float64(req.class.LatencyObjective)
}

// moveToOverdueLoad moves attempts of a request from the endpoint's load to the overdue load, which may be
// lost. A negative count moves them back.
func (b *Balancer) moveToOverdueLoad(req *request, attempt *attempt, count float64) {
	attempt.endpoint.inFlightLoad -= count / float64(req.class.LatencyObjective)
	b.overdueLoad += count / float64(req.class.LatencyObjective)
}
