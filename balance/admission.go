package balance

const (
	// queueingAllowance is the part of the latency objective, beyond the quickest answers, that queueing may
	// take. Above it, load is shed.
	queueingAllowance = 0.25
	// initialLatencyRatio is the assumed ratio of latency to objective until answers show the real one.
	initialLatencyRatio = 0.33
	// maxLatencyRatio limits ratios of latency to objective.
	maxLatencyRatio = 2
	// immediateShedGain is the fraction of the load to shed at once, per unit of excess latency ratio.
	immediateShedGain = 4
	// minSteadyShedGain is the change of the steady fraction per unit of excess latency ratio and request.
	minSteadyShedGain = 0.04
	// steadyShedObjectives is the time constant of the steady fraction where requests are rare, in longest
	// latency objectives.
	steadyShedObjectives = 2
	// maxSteadyShedGain limits the change of the steady fraction at one request.
	maxSteadyShedGain = 0.5
	// shedPerLateAnswer limits the steady fraction to this multiple of the fraction of late answers: shedding
	// more cannot improve the result.
	shedPerLateAnswer = 3
	// maxShedFraction is less than 1: without answers, the end of an overload would not be noticed.
	maxShedFraction = 0.95
	// answerRateObjectives is the time constant of the rate of answers, in longest latency objectives.
	answerRateObjectives = 8
	// priorAnswers are assumed in addition to recent answers, so that a sidecar with few requests does not
	// shed load by chance.
	priorAnswers = 15
	// maxQuotaCredit limits how much a tenant below its quota gains.
	maxQuotaCredit = 2
	// equalValueFactor is the factor within which values count as equal, so that a tiny difference does not
	// make one tenant bear all of the shedding.
	equalValueFactor = 1.25
	// retryAfterObjective is the Retry-After time of a rejected request, in its latency objectives.
	retryAfterObjective = 0.1
)

// onRequest handles a new request.
func (b *Balancer) onRequest(ev Request) error {
	if ev.ClassOverride == nil && (ev.Class < 0 || ev.Class >= len(b.cfg.Classes)) {
		return &UnknownClassError{Request: ev.ID, Class: ev.Class}
	}
	req := b.openRequest(ev)
	if !b.admit(req) {
		b.rejectOrFail(req)
		return nil
	}
	b.checkCandidates(req)
	b.advance(req)
	return nil
}

// admit decides whether a request is admitted. It sheds the load that the fleet cannot answer within the
// latency objectives, before anything is sent.
func (b *Balancer) admit(req *request) bool {
	threshold := b.shedThreshold()
	// What was measured during an overload loses its weight when no answers arrive.
	lifetime := max(answerRateObjectives*b.longestObjective, errorHalfLife)
	recency := decay(b.now-b.lastAnswerAt, lifetime)
	excess := min(b.expectedLatencyRatio(threshold, recency), maxLatencyRatio) - threshold
	b.updateSteadyShed(excess, recency)
	// The limit relative to the steady fraction keeps one chance deviation from shedding load.
	shed := clamp(b.steadyShed+immediateShedGain*excess, 0, min(maxShedFraction, 2*b.steadyShed))
	if b.isLateRetry(req) && b.steadyShed >= req.class.LateWeight {
		return false
	}
	return shed == 0 || b.random() >= b.shedProbability(req, shed)
}

// expectedLatencyRatio estimates the ratio of latency to objective from the attempts in flight and the rate
// of answers (Little's law). The prior answers, most of what a sidecar with little traffic has, count with
// the recent latency: by its one or two attempts in flight alone, such a sidecar shed nothing or everything.
func (b *Balancer) expectedLatencyRatio(threshold, recency float64) float64 {
	recentRatio := b.minLatencyRatio + (b.latencyRatio-b.minLatencyRatio)*recency
	priorRatio := recentRatio
	if b.cfg.LoadReports == LoadReportsPolled {
		priorRatio = 0 // the load reports of health checks show overload; see overloaded
	}
	// Overdue attempts are no load while answers are quick.
	overdueLoad := b.overdueLoad * clamp(4*(recentRatio/threshold-1), 0, 1)
	priorLoad := priorRatio * priorAnswers / answerRateObjectives / float64(b.longestObjective)
	return (b.inFlightLoad() + overdueLoad + priorLoad) / b.answerRate(0, priorAnswers)
}

// updateSteadyShed moves the fraction of the load that is shed steadily by the excess latency ratio.
func (b *Balancer) updateSteadyShed(excess, recency float64) {
	elapsed := float64((b.now - b.lastAdmissionAt) / steadyShedObjectives / b.longestObjective)
	gain := clamp(elapsed, minSteadyShedGain, maxSteadyShedGain)
	b.lastAdmissionAt = b.now
	limit := min(maxShedFraction, shedPerLateAnswer*b.lateFraction*recency)
	b.steadyShed = clamp(b.steadyShed+gain*excess, 0, limit)
}

// shedThreshold returns the ratio of latency to objective above which load is shed.
func (b *Balancer) shedThreshold() float64 {
	return b.minLatencyRatio + queueingAllowance*(1-b.minLatencyRatio)
}

// isLateRetry reports whether a request is a client's retry whose latency objective has passed already: the
// time left is shorter than that of first attempts.
func (b *Balancer) isLateRetry(req *request) bool {
	// An unmarked request with a short timeout is an impatient client's first attempt.
	mayBeRetry := req.ClientRetry || !b.cfg.ClientRetriesMarked
	if !mayBeRetry || req.Remaining >= 0.99*req.stats.longestTimeout {
		return false
	}
	return req.Remaining <= req.class.Deadline-req.class.LatencyObjective
}

// inFlightLoad returns the sum over attempts in flight of 1 / latency objective. Attempts at ejected
// endpoints say nothing about the others.
func (b *Balancer) inFlightLoad() float64 {
	load := 0.0
	for _, ep := range b.endpoints {
		if ep.ejectedUntil == 0 && !ep.zone.outage {
			load += ep.inFlightLoad
		}
	}
	return load
}

// shedProbability returns the probability of rejecting a request, so that a fraction of the load is shed in
// total. The classes and tenants whose answers earn least for their work are shed first.
func (b *Balancer) shedProbability(req *request, shed float64) float64 {
	totalRequests := b.totalRequests()
	ownValue := b.valuePerWork(req.stats, req.tenant, totalRequests)
	totalWork, lowerWork, equalWork := 0.0, 0.0, 1e-3 // all, and that of lower and of equal value
	for _, class := range b.classes {
		for _, tenant := range b.tenants {
			work := class.count * float64(class.meanLatency) * tenant.count
			totalWork += work
			value := b.valuePerWork(class, tenant, totalRequests)
			if value*equalValueFactor < ownValue {
				lowerWork += work
			} else if value < ownValue*equalValueFactor {
				equalWork += work
			}
		}
	}
	return (shed*totalWork - lowerWork) / equalWork
}

// valuePerWork returns what a tenant's answers of a class earn per millisecond of latency.
func (b *Balancer) valuePerWork(class *classStats, tenant *requestCounter, totalRequests float64) float64 {
	return class.priorityWeight * b.quotaFactor(tenant, totalRequests) / max(float64(class.meanLatency), 1e-3)
}

// quotaFactor returns the factor of a tenant's priority that follows from its part of this sidecar's
// requests.
func (b *Balancer) quotaFactor(tenant *requestCounter, totalRequests float64) float64 {
	if tenant.quotaShare <= 0 {
		return 1
	}
	withinQuota := min(tenant.quotaShare*totalRequests/tenant.count, maxQuotaCredit)
	return b.cfg.OverQuotaWeight + (1-b.cfg.OverQuotaWeight)*withinQuota
}

// rejectOrFail ends a request without an answer from an endpoint. It is rejected, with a short Retry-After
// time, if a retry by the client is safe, and otherwise failed.
func (b *Balancer) rejectOrFail(req *request) {
	action := Action{Kind: FailRequest, Request: req.ID}
	if b.rejectable(req) {
		action.Kind = RejectRequest
		action.RetryAfter = min(retryAfterObjective*req.class.LatencyObjective, b.cfg.MaxRetryAfter)
	}
	b.emit(action)
	b.finishRequest(req)
}

// rejectable reports whether a request may be executed again, as clients retry a rejected request.
func (b *Balancer) rejectable(req *request) bool {
	if req.class.Idempotency == Idempotent {
		return true
	}
	if req.class.Idempotency == IdempotencyKey && req.class.DedupScope == DedupAll {
		return true
	}
	return !req.mayHaveExecuted()
}
