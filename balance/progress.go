package balance

const (
	// overdueDeviations is the number of mean deviations above the class's mean latency at which an attempt
	// is overdue.
	overdueDeviations = 4
	// minOverdueSamples is the number of latencies that this needs.
	minOverdueSamples = 5
	// unsampledOverdueObjectives is when an attempt is overdue before that, in latency objectives.
	unsampledOverdueObjectives = 0.5
	// rechecksPerObjective is how often per latency objective a request is advanced while it waits for an
	// endpoint.
	rechecksPerObjective = 20
)

// advance takes the next step for a request: it ends it, sends an attempt, or waits.
func (b *Balancer) advance(req *request) {
	if req.done || req.streaming {
		return
	}
	b.markOverdue(req)
	b.abandonOvertaken(req)
	if b.now >= req.deadline || req.inFlight == 0 && b.mustEnd(req) {
		b.rejectOrFail(req)
		return
	}
	if req.inFlight == 0 && b.checksDone(req) {
		req.awaitChecksUntil = 0 // later health checks of these endpoints are not awaited
		ep := b.pick(req, req.nextAttemptKind())
		if ep != nil && b.overloaded(req, ep) {
			b.rejectOrFail(req)
			return
		}
		if ep != nil {
			b.sendAttempt(req, ep)
		}
	}
	b.scheduleTimer(req)
}

// markOverdue counts attempts that take far longer than is usual in their class as errors. Otherwise,
// endpoints that hang would be noticed late.
func (b *Balancer) markOverdue(req *request) {
	for _, a := range req.attempts {
		if !a.countedAsLoad || a.overdue || b.now < a.sentAt+b.overdueAfter(req) {
			continue
		}
		b.load.markOverdue(req, a)
		b.recordError(a.endpoint, attemptError)
		b.recordSilence(a.endpoint, a.sentAt)
		if a.overtaken() {
			b.recordClassResult(req, a.endpoint, TimedOut)
		}
	}
}

// abandonOvertaken cancels overdue attempts whose endpoint responded to newer attempts, or whose zone is
// unreachable, while another endpoint could still respond in time: the request is retried as after a
// failure. Attempts that are merely slow go on, as more load would only slow them further.
func (b *Balancer) abandonOvertaken(req *request) {
	for i, a := range req.attempts {
		if !a.inFlight || !a.overdue || a.abandoned {
			continue
		}
		if (a.overtaken() || a.endpoint.zone.outage) && b.retryGains(req) {
			a.abandoned = true
			b.emit(Action{Kind: CancelAttempt, Request: req.ID, Attempt: i})
		}
	}
}

// overdueAfter returns the time after which an attempt is overdue. It follows the present latencies of the
// class: in an overloaded fleet all attempts are slow.
func (b *Balancer) overdueAfter(req *request) Milliseconds {
	if req.stats.samples < minOverdueSamples {
		return req.class.LatencyObjective * unsampledOverdueObjectives
	}
	return req.stats.meanLatency + overdueDeviations*req.stats.latencyDeviation
}

// scheduleTimer sets a timer for the next time at which a request has to be advanced.
func (b *Balancer) scheduleTimer(req *request) {
	next := req.deadline
	if req.awaitChecksUntil > b.now {
		next = min(next, req.awaitChecksUntil)
	} else if req.inFlight == 0 {
		next = min(next, b.now+b.recheckInterval(req))
	}
	for _, a := range req.attempts {
		if a.countedAsLoad && !a.overdue {
			next = min(next, a.sentAt+b.overdueAfter(req))
		} else if a.inFlight && a.overdue && !a.abandoned && !b.objectiveOutOfReach(req) {
			next = min(next, b.now+b.recheckInterval(req))
		}
	}
	if next < req.nextTimerAt {
		req.nextTimerAt = next
		b.emit(Action{Kind: SetTimer, Token: uint64(req.ID), Delay: max(0, next-b.now)})
	}
}

// recheckInterval returns the interval at which a request is advanced while it waits for an endpoint.
func (b *Balancer) recheckInterval(req *request) Milliseconds {
	return max(b.cfg.MinBatchInterval, req.class.LatencyObjective/rechecksPerObjective)
}

// onRequestTimer does not compare nextTimerAt with the clock: a rounding error may make the timer early.
func (b *Balancer) onRequestTimer(id RequestID) {
	req := b.requests[id]
	if req == nil {
		return
	}
	req.nextTimerAt = never
	b.advance(req)
}
