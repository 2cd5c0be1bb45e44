package balance

// slowObjectives is how long an endpoint counts as slow after a slow response, in longest latency objectives.
const slowObjectives = 1.5

// recordOutcome updates what is known of the endpoint, the class and the load by the result of an attempt.
func (b *Balancer) recordOutcome(req *request, attempt *attempt, ev Outcome) {
	if ev.Result != TimedOut { // markOverdue has recorded the timeouts that are the endpoint's fault
		b.recordClassResult(req, attempt.endpoint, ev.Result)
	}
	switch ev.Result {
	case OK:
		b.recordSuccess(req, attempt, ev.Duration)
	case Cancelled, NotAttempted:
	default:
		b.recordFailure(attempt, ev.Result)
	}
}

// recordSuccess updates what is known by a successful attempt.
func (b *Balancer) recordSuccess(req *request, attempt *attempt, latency Milliseconds) {
	ep := attempt.endpoint
	ep.activity.recordResponseTo(attempt.sentAt)
	b.recordResponse(ep)
	if ep.outlier.wasStopped(b.now) && !b.warmingUp(ep) {
		b.startWarmUp(ep, b.now)
	}
	ep.outlier.clear()
	b.advanceResponseRate()
	b.responses.record()
	b.recordLatency(req, attempt, latency)
}

// recordLatency updates all statistics of latencies by a successful attempt.
func (b *Balancer) recordLatency(req *request, attempt *attempt, latency Milliseconds) {
	ep := attempt.endpoint
	objective := req.class.LatencyObjective
	b.timePerInFlight.record(latency, attempt.inFlightBefore)
	b.latency.recordResponse(b.now, latency, objective, b.averagingGain())
	slow := latency > objective.scaled(b.latency.shedThreshold())
	ep.sticky.recordLatency(slow, b.now+slowObjectives*b.longestObjective)
	if req.stats.samples > 0 {
		b.learnCapacity(ep, ratio(latency, req.stats.meanLatency))
	}
	req.stats.recordLatency(latency, b.averagingGain()*classLatencyGain)
}

// recordFailure updates what is known by a failed attempt.
func (b *Balancer) recordFailure(attempt *attempt, result Result) {
	if result == TimedOut && !attempt.overdue { // the client's timeout is shorter than responses take
		return
	}
	b.recordLateness(result == TimedOut || result == Rejected)
	if result == Rejected {
		b.latency.recordRejection(b.averagingGain())
	}
	if result == ConnectFailed {
		b.recordError(attempt.endpoint, connectError)
		b.recordSilence(attempt.endpoint, attempt.sentAt)
		return
	}
	if !attempt.overdue { // else markOverdue has counted the error
		b.recordError(attempt.endpoint, attemptError)
	}
	if result == ServerError || result == Rejected {
		b.recordResponse(attempt.endpoint)
	}
}
