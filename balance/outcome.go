package balance

// slowDuration is how long an endpoint counts as slow for sticky keys after a slow response.
const slowDuration Milliseconds = 1000

// recordOutcome updates the statistics of the endpoint, the class and the load with the result of an attempt.
func (b *Balancer) recordOutcome(req *request, attempt *attempt, ev Outcome) {
	// A timeout counts for the class only if the attempt was presumed lost when it became overdue;
	// markOverdue has recorded it then.
	if ev.Result != TimedOut {
		b.recordClassResult(req, attempt.endpoint, ev.Result)
	}
	switch ev.Result {
	case OK:
		b.recordSuccess(req, attempt, ev.Duration)
	case Cancelled, NotAttempted:
	default:
		b.recordFailure(req, attempt, ev)
	}
}

// recordSuccess updates all statistics with a successful attempt.
func (b *Balancer) recordSuccess(req *request, attempt *attempt, latency Milliseconds) {
	ep := attempt.endpoint
	ep.activity.recordSuccess(attempt.sentAt)
	b.recordReachable(ep)
	if ep.outlier.likelyRestarted(b.now) && !b.inSlowStart(ep) {
		b.startSlowStart(ep, b.now)
	}
	ep.outlier.clearErrors()
	b.decayResponseCounts()
	b.responses.recordResponse()
	b.recordLatency(req, attempt, latency)
}

// recordLatency updates all statistics of latencies with a successful attempt.
func (b *Balancer) recordLatency(req *request, attempt *attempt, latency Milliseconds) {
	ep := attempt.endpoint
	b.timePerInFlight.recordLatency(latency, attempt.inFlightBefore)
	gain := b.averagingGain()
	latencyRatio := ratio(latency, attempt.timeLimit)
	b.latency.recordResponse(b.now, latencyRatio, gain)
	slow := latencyRatio > b.latency.queueingRatio()
	ep.sticky.setSlow(slow, b.now+slowDuration)
	if req.stats.latencySamples > 0 {
		difference := ratio(latency-req.stats.meanLatency, attempt.timeLimit)
		b.latency.recordDeviation(difference, gain)
		b.learnCapacity(ep, ratio(latency, req.stats.meanLatency))
	}
	req.stats.recordLatency(latency, gain*classLatencyGain)
	req.stats.servedTimeouts.Record(req.Remaining)
}

// recordFailure updates all statistics with a failed attempt.
func (b *Balancer) recordFailure(req *request, attempt *attempt, ev Outcome) {
	result := ev.Result
	if result == TimedOut && ev.Duration >= req.stats.usualLatency() {
		b.decayResponseCounts()
		b.latency.recordTimeout(b.now, attempt, b.averagingGain())
	}
	if result == TimedOut && !attempt.overdue { // the client's timeout was shorter than usual latencies
		return
	}
	if result == Rejected {
		b.recordOverload()
	}
	if result == ConnectFailed {
		b.recordError(attempt.endpoint, connectError)
		b.recordUnresponsive(attempt.endpoint, attempt.sentAt)
		return
	}
	if !attempt.overdue { // otherwise, markOverdue has counted the error already
		b.recordError(attempt.endpoint, attemptError)
	}
	if result == ServerError || result == Rejected {
		b.recordReachable(attempt.endpoint)
	}
}

// recordOverload counts an attempt that its endpoint rejected, or would not have answered in time.
func (b *Balancer) recordOverload() {
	b.decayResponseCounts()
	b.latency.recordRejection(b.averagingGain())
}
