package balance

const (
	// overdueDeviations is the number of mean absolute deviations above the class's mean latency at which an
	// attempt is overdue.
	overdueDeviations = 4
	// minOverdueSamples is the number of latency samples of the class that this limit requires.
	minOverdueSamples = 5
	// defaultOverdueFraction is the fraction of the client's time after which an attempt is overdue while its
	// class has fewer samples. It leaves time for another attempt that takes as long.
	defaultOverdueFraction = 1. / 3
	// recheckInterval is the interval at which a request is advanced while it waits for an endpoint.
	recheckInterval Milliseconds = 25
)

// advanceRequest performs the next step of a request: it ends the request, sends an attempt, or sets a timer
// to check again later.
func (b *Balancer) advanceRequest(req *request) {
	if req.finished || req.streaming {
		return
	}
	b.markOverdue(req)
	b.cancelLostAttempts(req)
	if b.now >= req.endsAt() || req.inFlight == 0 && b.attemptsRuledOut(req) {
		b.rejectOrFail(req)
		return
	}
	if req.inFlight == 0 && b.checksDoneOrTimedOut(req) {
		req.awaitChecksUntil = 0 // later health checks of these endpoints do not delay the request again
		b.attemptOrGiveUp(req)
	}
	if !req.finished {
		b.scheduleTimer(req)
	}
}

// attemptOrGiveUp sends an attempt of a request that has none in flight. It ends the request if an attempt
// would probably not be answered before the client gives up: the picked endpoint is overloaded, or there is
// none and it is useless to wait for one.
func (b *Balancer) attemptOrGiveUp(req *request) {
	ep := b.pickEndpoint(req, req.nextAttemptKind())
	switch {
	case ep == nil && (b.wouldMissDeadline(req) || b.triedAllReady(req)):
		b.rejectOrFail(req)
	case ep != nil && b.overloaded(req, ep):
		b.recordOverload()
		b.rejectOrFail(req)
	case ep != nil:
		b.sendAttempt(req, ep)
	}
}

// markOverdue counts attempts that take far longer than usual for their class as errors of their endpoint.
// Without it, a hung endpoint would be detected only when its attempts time out.
func (b *Balancer) markOverdue(req *request) {
	for _, a := range req.attempts {
		if !a.countedAsLoad || a.overdue || b.now < a.sentAt+b.overdueAfter(req) {
			continue
		}
		b.load.markOverdue(a)
		b.recordError(a.endpoint, attemptError)
		b.recordUnresponsive(a.endpoint, a.sentAt)
		if a.presumedLost() {
			b.recordClassResult(req, a.endpoint, TimedOut)
		}
	}
}

// cancelLostAttempts cancels overdue attempts that are presumed lost, or whose zone is unreachable, if
// another endpoint can still respond in time. The request is then retried as after a failure. Attempts that
// are merely slow continue: a retry would add load and slow the endpoints down further.
func (b *Balancer) cancelLostAttempts(req *request) {
	for i, a := range req.attempts {
		if !a.inFlight || !a.overdue || a.cancelledAsLost {
			continue
		}
		if (a.presumedLost() || a.endpoint.zone.inOutage) && b.canRetryInTime(req) {
			a.cancelledAsLost = true
			b.emit(Action{Kind: CancelAttempt, Request: req.ID, Attempt: i})
		}
	}
}

// overdueAfter returns how long after it was sent an attempt is overdue. The limit follows the current
// latencies of the class, because in an overloaded fleet all attempts are slow.
func (b *Balancer) overdueAfter(req *request) Milliseconds {
	if req.stats.latencySamples < minOverdueSamples {
		return req.Remaining.scaled(defaultOverdueFraction)
	}
	return req.stats.meanLatency + overdueDeviations*req.stats.latencyDeviation
}

// scheduleTimer sets a timer for the next time at which the request must be advanced, unless an earlier timer
// is set already.
func (b *Balancer) scheduleTimer(req *request) {
	next := req.endsAt()
	if req.awaitChecksUntil > b.now {
		next = min(next, req.awaitChecksUntil)
	} else if req.inFlight == 0 {
		next = min(next, b.now+recheckInterval)
	}
	for _, a := range req.attempts {
		if a.countedAsLoad && !a.overdue {
			next = min(next, a.sentAt+b.overdueAfter(req))
		} else if a.inFlight && a.overdue && !a.cancelledAsLost && b.hasTimeForRetry(req) {
			// The attempt may later be presumed lost (cancelLostAttempts).
			next = min(next, b.now+recheckInterval)
		}
	}
	if next < req.nextTimerAt {
		req.nextTimerAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(req.ID), Delay: max(0, next-b.now)})
	}
}

// onRequestTimer advances a request when its timer fires. It does not compare nextTimerAt with the current
// time, because the timer may fire slightly early due to rounding. advanceRequest then sets it again.
func (b *Balancer) onRequestTimer(id RequestID) {
	req := b.requests[id]
	if req == nil {
		return
	}
	req.nextTimerAt = never
	b.advanceRequest(req)
}
