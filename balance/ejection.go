package balance

const (
	// errorHalfLife is the time in which errors lose half of their weight: failures last seconds, not
	// minutes.
	errorHalfLife Milliseconds = 5000
	// errorPenalty is what each consecutive error takes off the health multiplier.
	errorPenalty = 0.2
	// minHealth is the least health multiplier: a recovered endpoint needs some requests to be noticed.
	minHealth = 0.25
	// errorsToEject is the number of consecutive errors at which an endpoint is ejected.
	errorsToEject = 3
	// connectErrorsToEject is the number of consecutive attempts that could not connect at which an endpoint
	// counts as stopped. A single one may be chance.
	connectErrorsToEject = 2
	// restartSilence is the time without an answer after which a single failed connection, too, shows that an
	// endpoint was stopped.
	restartSilence Milliseconds = 1000
	// slowObjectives is how long an endpoint counts as slow after a slow answer, in longest latency
	// objectives.
	slowObjectives = 1.5
	// maxEjectionDoublings limits the growth of consecutive ejections.
	maxEjectionDoublings = 3
)

// errorKind distinguishes the errors of an attempt.
type errorKind bool

const (
	attemptError errorKind = false // a connection was open
	connectError errorKind = true  // no connection could be opened
)

// health returns the health multiplier of an endpoint's weight.
func (b *Balancer) health(ep *endpoint) float64 {
	if ep.consecutiveErrors == 0 {
		return 1
	}
	effective := float64(ep.consecutiveErrors) * halved(b.now-ep.lastErrorAt, errorHalfLife)
	return clamp(1-errorPenalty*effective, minHealth, 1)
}

// recordError counts an error of an endpoint, and ejects it after several consecutive ones.
func (b *Balancer) recordError(ep *endpoint, kind errorKind) {
	ep.consecutiveErrors++
	ep.lastErrorAt = b.now
	if kind == connectError {
		ep.connectErrors++
	}
	b.learnCapacity(ep, errorLatencyRatio)
	stopped := kind == connectError && ep.connectErrors >= connectErrorsToEject
	if stopped || ep.consecutiveErrors >= errorsToEject {
		b.eject(ep)
	}
}

// eject takes an endpoint out of the rotation. Each consecutive ejection lasts twice as long as the one
// before.
func (b *Balancer) eject(ep *endpoint) {
	ep.ejectedUntil = b.now + b.longestObjective.scaled(backoffFactor(ep.ejections, maxEjectionDoublings))
	ep.ejections++
}

// ejected reports whether an endpoint is out of the rotation, by itself or with its zone.
func (b *Balancer) ejected(ep *endpoint) bool { return b.now < ep.ejectedUntil || ep.zone.outage }

// recordOutcome updates the state of the endpoint, the class and the load by the result of an attempt.
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

// recordSuccess updates the state by a successful attempt.
func (b *Balancer) recordSuccess(req *request, attempt *attempt, latency Milliseconds) {
	ep := attempt.endpoint
	objective := req.class.LatencyObjective
	ep.newestAnsweredSentAt = max(ep.newestAnsweredSentAt, attempt.sentAt)
	b.recordAnswer(ep)
	if b.hasRestarted(ep) && !b.warmingUp(ep) {
		b.startWarmUp(ep, b.now)
	}
	ep.clearErrors()
	b.answerRate(1, 0)
	b.recordAnswerLatency(attempt, latency, objective)
	ep.slowUntil = 0
	if latency > objective.scaled(b.shedThreshold()) {
		ep.slowUntil = b.now + slowObjectives*b.longestObjective
	}
	if req.stats.samples > 0 {
		b.learnCapacity(ep, ratio(latency, req.stats.meanLatency))
	}
	req.stats.recordLatency(latency, b.averagingGain()/2)
}

// hasRestarted reports whether an endpoint that answers again was stopped, even if discovery has not reported
// it.
func (b *Balancer) hasRestarted(ep *endpoint) bool {
	if ep.connectErrors >= connectErrorsToEject {
		return true
	}
	return ep.connectErrors > 0 && b.now > ep.lastErrorAt+restartSilence
}

// recordFailure updates the state by a failed attempt.
func (b *Balancer) recordFailure(attempt *attempt, result Result) {
	if result == TimedOut && !attempt.overdue { // the client's timeout is shorter than answers take
		return
	}
	b.recordLateness(result == TimedOut || result == Rejected)
	if result == Rejected { // a rejection means overload: it counts as the slowest answer
		b.latencyRatio += (maxLatencyRatio - b.latencyRatio) * b.averagingGain()
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
		b.recordAnswer(attempt.endpoint)
	}
}
