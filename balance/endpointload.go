package balance

// unknownInFlight stands for a number of requests in flight that no fresh load report gives.
const unknownInFlight = -1

// endpointLoad is the load of one endpoint: the attempts of this sidecar in flight, and the last load
// report. An attempt counts as 1 / latency objective in perObjective: by Little's law, the sum is the rate
// of responses that keeps all objectives.
type endpointLoad struct {
	inFlight         int     // attempts of this sidecar in flight
	perObjective     float64 // sum over these attempts, but for the overdue ones, of 1 / latency objective
	reportedInFlight float64 // requests in flight according to the last load report
	reportedAt       Milliseconds
	sentSinceReport  float64 // attempts of this sidecar since the last load report
}

// loadTracker moves attempts in and out of the load. Attempts that take far longer than is usual in their
// class are overdue load, which may be lost.
type loadTracker struct {
	overdue float64 // sum over overdue attempts of 1 / latency objective
}

// add counts an attempt as load of its endpoint.
func (t *loadTracker) add(req *request, attempt *attempt) {
	if attempt.countedAsLoad {
		return
	}
	attempt.countedAsLoad = true
	attempt.endpoint.load.perObjective += 1 / float64(req.class.LatencyObjective)
}

// remove takes an attempt out of the load that it is counted in.
func (t *loadTracker) remove(req *request, attempt *attempt) {
	if !attempt.countedAsLoad {
		return
	}
	share := 1 / float64(req.class.LatencyObjective)
	if attempt.overdue {
		attempt.endpoint.load.perObjective += share
		t.overdue -= share
	}
	attempt.countedAsLoad = false
	attempt.endpoint.load.perObjective -= share
}

// markOverdue moves an attempt from the load of its endpoint to the overdue load.
func (t *loadTracker) markOverdue(req *request, attempt *attempt) {
	share := 1 / float64(req.class.LatencyObjective)
	attempt.overdue = true
	attempt.endpoint.load.perObjective -= share
	t.overdue += share
}

// inFlightLoad returns the load of all endpoints. Attempts at endpoints that were ejected and have had no
// success since say nothing about the others.
func (b *Balancer) inFlightLoad() float64 {
	load := 0.0
	for _, ep := range b.endpoints.list {
		if !ep.outlier.ejectedSinceLastSuccess() && !ep.zone.inOutage {
			load += ep.load.perObjective
		}
	}
	return load
}

// recordLoadReport stores the number of requests in flight from a load report.
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

// hasFreshReport reports whether the last load report of an endpoint is still valid.
func (b *Balancer) hasFreshReport(ep *endpoint) bool {
	if ep.load.reportedAt <= 0 || b.cfg.LoadReports != LoadReportsPolled {
		return false
	}
	return b.now-ep.load.reportedAt <= reportLifetimeObjectives*b.longestObjective
}

// estimatedInFlight returns the best estimate of an endpoint's requests in flight: a fresh load report and
// the attempts since then, or otherwise the attempts of this sidecar.
func (b *Balancer) estimatedInFlight(ep *endpoint) float64 {
	if b.hasFreshReport(ep) {
		return ep.load.reportedInFlight + ep.load.sentSinceReport
	}
	return float64(ep.load.inFlight)
}

// reportedLoadObjective is the time in which an endpoint must be able to respond by its load report, in
// latency objectives.
const reportedLoadObjective = 0.75

// overloaded reports whether an endpoint would respond to a first attempt too late, by its load report. If
// the best endpoint is overloaded, all are.
func (b *Balancer) overloaded(req *request, ep *endpoint) bool {
	if len(req.attempts) > 0 || !b.hasFreshReport(ep) {
		return false
	}
	responseAt := b.now + b.timePerInFlight.mean.scaled(b.estimatedInFlight(ep)+1)
	return responseAt > req.arrivedAt+reportedLoadObjective*req.class.LatencyObjective
}

// inFlightTime is the mean time that an endpoint needs for each request in flight: the latency of an
// attempt, divided by the requests in flight at its endpoint, the attempt included.
type inFlightTime struct {
	mean    Milliseconds
	samples float64 // up to averagingSamples; the initial guess counts as one
}

// newInFlightTime returns the initial guess.
func newInFlightTime(longestObjective Milliseconds) inFlightTime {
	return inFlightTime{mean: longestObjective.scaled(initialLatencyRatio), samples: 1}
}

// record adds the latency of an attempt, unless the requests in flight before it are unknown.
func (t *inFlightTime) record(latency Milliseconds, inFlightBefore float64) {
	if inFlightBefore < 0 {
		return
	}
	t.samples = min(t.samples+1, averagingSamples)
	sample := latency / Milliseconds(inFlightBefore+1)
	t.mean += (sample - t.mean) / Milliseconds(t.samples)
}
