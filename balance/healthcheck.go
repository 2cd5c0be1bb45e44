package balance

import (
	"math"
	"slices"
)

const (
	// checkDueDeviations is the number of mean absolute deviations above the mean duration of health checks
	// after which a result is due.
	checkDueDeviations = 4
	// minCheckSamples is the number of health checks that this limit requires.
	minCheckSamples = 5
	// defaultCheckDue is the time after which a result is due before that.
	defaultCheckDue Milliseconds = 25
	// minCheckDue is the lower bound of that time. Shorter delays are common on a busy machine.
	minCheckDue Milliseconds = 10
	// allBusyProbability is the accepted probability that all checked endpoints are busy.
	allBusyProbability = 0.01
	// minBusyFraction and maxBusyFraction limit the busy fraction from which the number of health checks is
	// computed. In a fleet that is busier, no idle endpoint is to be expected, and further health checks
	// would only load it.
	minBusyFraction = 0.01
	maxBusyFraction = 0.7
	// initialBusyFraction is the busy fraction that is assumed before there are load reports: all endpoints
	// are busy.
	initialBusyFraction = 1
	// checkSentAtTolerance is the largest difference by rounding between the recorded send time of a health
	// check and the send time computed from the duration in its result.
	checkSentAtTolerance Milliseconds = 1
)

// healthCheckState is the state of an endpoint's last health check.
type healthCheckState struct {
	pending bool // the result has not arrived
	sentAt  Milliseconds
}

// candidateChecks holds the state of the health checks that precede first attempts.
type candidateChecks struct {
	busyFraction    float64          // recent fraction of load reports with requests in flight
	waitingRequests []*request       // requests that wait for health checks
	duration        DurationEstimate // of successful health checks
}

// dueAfter returns how long after it was sent the result of a health check is due.
func (c *candidateChecks) dueAfter() Milliseconds {
	if c.duration.samples < minCheckSamples {
		return defaultCheckDue
	}
	return max(c.duration.mean+checkDueDeviations*c.duration.deviation, minCheckDue)
}

// recordReport adds a load report to the busy fraction: 1 if it shows requests in flight, otherwise 0.
func (c *candidateChecks) recordReport(inFlight float64) {
	c.busyFraction += (min(inFlight, 1) - c.busyFraction) / averagingSamples
}

// checkCount returns the number of endpoints to check for a request: enough that one of them is very
// probably idle. It is the lowest number for which busyFraction^checkCount is at most allBusyProbability.
func (c *candidateChecks) checkCount() int {
	busyFraction := clamp(c.busyFraction, minBusyFraction, maxBusyFraction)
	return int(math.Ceil(logarithm(allBusyProbability) / logarithm(busyFraction)))
}

// checkCandidates sends health checks to the endpoints that are next in the rotation before the first attempt
// of a request, if load reports arrive only with health checks. For a request with a sticky key, these are
// the sticky endpoints of the key.
func (b *Balancer) checkCandidates(req *request) {
	if !b.cfg.HealthChecks || b.cfg.LoadReports != LoadReportsPolled {
		return
	}
	b.updateWeights(req, excludeEjected)
	b.restrictToStickyEndpoints(req)
	for count := b.checks.checkCount(); len(req.checkedEndpoints) < count; {
		next := b.nextToCheck(req)
		if next == nil {
			break
		}
		req.checkedEndpoints = append(req.checkedEndpoints, next)
		if !next.healthCheck.pending || b.respondedAfterCheckDue(next, next.healthCheck.sentAt) {
			b.sendHealthCheck(next)
		}
	}
	if len(req.checkedEndpoints) > 0 {
		latestAttemptAt := req.deadline - req.stats.meanLatency // for a response in time
		req.awaitChecksUntil = min(b.now+b.checks.dueAfter(), latestAttemptAt)
		b.checks.waitingRequests = append(b.checks.waitingRequests, req)
	}
}

// nextToCheck returns the endpoint with the highest rotation credit among the candidates that are not yet
// checked for the request, or nil if there is none. Call updateWeights first.
func (b *Balancer) nextToCheck(req *request) *endpoint {
	var next *endpoint
	for _, ep := range b.endpoints.list {
		if ep.candidate.weight == 0 || slices.Contains(req.checkedEndpoints, ep) {
			continue
		}
		if next == nil || ep.rotation.credit > next.rotation.credit {
			next = ep
		}
	}
	return next
}

// sendHealthCheck sends a health check to an endpoint.
func (b *Balancer) sendHealthCheck(ep *endpoint) {
	ep.healthCheck = healthCheckState{pending: true, sentAt: b.now}
	b.emit(Action{Kind: CheckHealth, Endpoint: ep.ID})
}

// onHealthCheckResult handles the result of a health check. It ejects the endpoint if the check failed and
// the endpoint has not responded to anything since the result was due.
func (b *Balancer) onHealthCheckResult(ev HealthCheckResult) {
	ep := b.endpoints.byID[ev.Endpoint]
	if ep == nil {
		return
	}
	sentAt := b.now - ev.Duration
	switch {
	case ev.Result == OK:
		b.checks.duration.Record(ev.Duration)
		b.recordLoadReport(ep, ev.LoadReport)
		if ep.outlier.healthCheckFailed {
			ep.outlier.clearErrors()
		}
		b.recordReachable(ep)
	case ev.Result == ConnReset || ev.Result == NotAttempted:
		// The connection broke or was never opened; another connection may work.
	case b.respondedAfterCheckDue(ep, sentAt): // only the health check was lost
		if ep.healthCheck.sentAt > sentAt+checkSentAtTolerance { // a later health check is pending
			return
		}
	default: // the endpoint is unreachable from here, or reports that it is not healthy
		ep.outlier.recordFailedHealthCheck(b.now)
	}
	ep.healthCheck.pending = false
	b.advanceWaitingRequests()
}

// respondedAfterCheckDue reports whether an endpoint has responded after the result of a health check that
// was sent at checkSentAt was due. Then the endpoint is reachable, even if the result never arrived.
func (b *Balancer) respondedAfterCheckDue(ep *endpoint, checkSentAt Milliseconds) bool {
	return ep.activity.lastResponseAt > checkSentAt+b.checks.dueAfter()
}

// checksDoneOrTimedOut reports whether a request no longer has to wait for its health checks: all results
// have arrived, or the wait has reached its time limit.
func (b *Balancer) checksDoneOrTimedOut(req *request) bool {
	if b.now >= req.awaitChecksUntil {
		return true
	}
	pending := func(ep *endpoint) bool { return ep.healthCheck.pending }
	return !slices.ContainsFunc(req.checkedEndpoints, pending)
}

// advanceWaitingRequests advances the requests that wait for health checks, and keeps those that still wait.
func (b *Balancer) advanceWaitingRequests() {
	waiting := b.checks.waitingRequests
	b.checks.waitingRequests = waiting[:0]
	for _, req := range waiting {
		b.advanceRequest(req)
		if !req.finished && req.awaitChecksUntil > b.now {
			b.checks.waitingRequests = append(b.checks.waitingRequests, req)
		}
	}
}
