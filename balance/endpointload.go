package balance

// unknownInFlight is used as the number of requests in flight of an endpoint without a fresh load report.
const unknownInFlight = -1

// endpointLoad is the load of one endpoint: the attempts of this sidecar in flight, and the last load report.
// By Little's law, the sum of 1 / time limit over the attempts in flight is the response rate that is
// required to respond within the time that most clients wait.
type endpointLoad struct {
	inFlight         int          // attempts of this sidecar in flight
	requiredRate     float64      // required responses per millisecond; overdue attempts do not count
	reportedInFlight float64      // requests in flight according to the last load report
	reportedAt       Milliseconds // when the last load report arrived; 0: none has arrived
	sentSinceReport  float64      // attempts of this sidecar since the last load report
}

// loadTracker adds attempts to the load of their endpoints and removes them. It tracks the load of overdue
// attempts separately. They take far longer than is usual in their class, and may be lost.
type loadTracker struct {
	overdueRate float64 // required response rate of the overdue attempts, in responses per millisecond
}

// add adds an attempt to the load of its endpoint.
func (t *loadTracker) add(attempt *attempt) {
	if attempt.countedAsLoad {
		return
	}
	attempt.countedAsLoad = true
	attempt.endpoint.load.requiredRate += attempt.requiredRate
}

// remove removes an attempt from the load of its endpoint or from the overdue load.
func (t *loadTracker) remove(attempt *attempt) {
	if !attempt.countedAsLoad {
		return
	}
	rate := attempt.requiredRate
	if attempt.overdue { // undo markOverdue
		attempt.endpoint.load.requiredRate += rate
		t.overdueRate -= rate
	}
	attempt.countedAsLoad = false
	attempt.endpoint.load.requiredRate -= rate
}

// markOverdue moves an attempt from the load of its endpoint to the overdue load.
func (t *loadTracker) markOverdue(attempt *attempt) {
	rate := attempt.requiredRate
	attempt.overdue = true
	attempt.endpoint.load.requiredRate -= rate
	t.overdueRate += rate
}

// totalRequiredRate returns the load of all endpoints: the responses per millisecond that are required to
// respond to all attempts in flight in time, except overdue ones. It excludes endpoints that were ejected and
// have had no success since, and zones in an outage, because attempts there say nothing about the load of the
// other endpoints.
func (b *Balancer) totalRequiredRate() float64 {
	rate := 0.0
	for _, ep := range b.endpoints.list {
		if !ep.outlier.ejectedSinceLastSuccess() && !ep.zone.inOutage {
			rate += ep.load.requiredRate
		}
	}
	return rate
}

// recordLoadReport records the number of requests in flight if a load report contains it.
func (b *Balancer) recordLoadReport(ep *endpoint, report []float32) {
	for i, field := range b.cfg.LoadReportFields {
		if i < len(report) && field == LoadFieldInFlight {
			ep.load.reportedInFlight = float64(report[i])
			ep.load.reportedAt = b.now
			ep.load.sentSinceReport = 0
			b.checks.recordReport(ep.load.reportedInFlight)
		}
	}
}

// hasFreshReport reports whether the last load report of an endpoint is still valid. Only reports that arrive
// with health checks are used: those are made of several candidates at the same time, so that their loads can
// be compared. A report that arrives with a response describes only the endpoint that responded.
func (b *Balancer) hasFreshReport(ep *endpoint) bool {
	if ep.load.reportedAt <= 0 || b.cfg.LoadReports != LoadReportsPolled {
		return false
	}
	return b.now-ep.load.reportedAt <= b.reportLifetime()
}

// reportLifetime returns how long a load report is valid: about until the endpoint responds to the next of
// its requests, but at least until the results of other health checks for the same request are due.
func (b *Balancer) reportLifetime() Milliseconds {
	return max(b.timePerInFlight.mean, b.checks.dueAfter())
}

// estimatedInFlight returns an estimate of an endpoint's requests in flight: those in a fresh load report
// plus the attempts sent since then, or without a fresh report the attempts of this sidecar in flight.
func (b *Balancer) estimatedInFlight(ep *endpoint) float64 {
	if b.hasFreshReport(ep) {
		return ep.load.reportedInFlight + ep.load.sentSinceReport
	}
	return float64(ep.load.inFlight)
}

// overloaded reports whether an endpoint would probably not respond to an attempt before the client gives up,
// according to a fresh load report. An overloaded endpoint is picked only if all other candidates with a
// comparable load are overloaded, too. An endpoint without requests in flight is never overloaded: no other
// can respond sooner.
func (b *Balancer) overloaded(req *request, ep *endpoint) bool {
	if !b.hasFreshReport(ep) {
		return false
	}
	inFlight := b.estimatedInFlight(ep)
	return inFlight > 0 && b.now+b.timePerInFlight.Usual().scaled(inFlight+1) > req.deadline
}

// timePerInFlight estimates the time that an endpoint needs for each of its requests in flight: the mean of
// an attempt's latency divided by the requests in flight at its endpoint, including the attempt. The mean is
// 0 without samples: nothing is overloaded then.
type timePerInFlight struct{ DurationEstimate }

// recordLatency adds the latency of an attempt. inFlightBefore is the number of requests in flight at the
// endpoint before the attempt; the sample is ignored if that is unknownInFlight.
func (t *timePerInFlight) recordLatency(latency Milliseconds, inFlightBefore float64) {
	if inFlightBefore >= 0 {
		t.Record(latency / Milliseconds(inFlightBefore+1))
	}
}
