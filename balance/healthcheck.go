package balance

import (
	"math"
	"slices"
)

const (
	// healthCheckBudget is the part of the result that the health checks of a request may cost.
	healthCheckBudget = 0.03
	// minHealthCheckCost keeps the number of affordable health checks finite.
	minHealthCheckCost = 1e-3
	// reportLifetimeObjectives is how long load reports are valid, and how long a first attempt waits for
	// health checks, in latency objectives.
	reportLifetimeObjectives = 0.05
	// allBusyProbability is the probability that all checked endpoints are busy at which no more are checked.
	allBusyProbability = 0.01
	// minBusyFraction and maxBusyFraction keep the logarithm of the busy fraction finite and below 0.
	minBusyFraction = 0.01
	maxBusyFraction = 0.99
	// duplicateTolerance is how much the send times of the same health check may differ by rounding.
	duplicateTolerance Milliseconds = 1
)

// healthCheckState is an endpoint's last health check.
type healthCheckState struct {
	pending bool
	sentAt  Milliseconds
}

// candidateChecks holds what the health checks before first attempts need.
type candidateChecks struct {
	busyFraction float64    // recent fraction of checked endpoints that had requests in flight
	awaiting     []*request // requests that wait for health checks
}

// recordReport adds a load report to the fraction of busy endpoints.
func (c *candidateChecks) recordReport(inFlight float64) {
	c.busyFraction += (min(inFlight, 1) - c.busyFraction) / averagingSamples
}

// count returns the number of endpoints to check, so that they are hardly ever all busy. The cost of a
// health check limits it.
func (c *candidateChecks) count(cost float64) int {
	affordable := healthCheckBudget / max(cost, minHealthCheckCost)
	busyFraction := clamp(c.busyFraction, minBusyFraction, maxBusyFraction)
	needed := math.Ceil(math.Log(allBusyProbability) / math.Log(busyFraction))
	return int(min(affordable, needed))
}

// checkCandidates checks the endpoints that are next in the rotation before a first attempt, where only
// health checks report the load.
func (b *Balancer) checkCandidates(req *request) {
	if !b.cfg.HealthChecks || b.cfg.LoadReports != LoadReportsPolled {
		return
	}
	for count := b.checks.count(b.cfg.Costs.HealthCheck); len(req.checkedEndpoints) < count; {
		next := b.nextToCheck(req)
		if next == nil {
			break
		}
		req.checkedEndpoints = append(req.checkedEndpoints, next)
		if !next.healthCheck.pending || b.respondedSinceCheck(next, next.healthCheck.sentAt) {
			b.sendHealthCheck(next)
		}
	}
	if len(req.checkedEndpoints) > 0 {
		req.awaitChecksUntil = b.now + reportLifetimeObjectives*req.class.LatencyObjective
		b.checks.awaiting = append(b.checks.awaiting, req)
	}
}

// nextToCheck returns the unchecked endpoint that is next in the rotation, or nil.
func (b *Balancer) nextToCheck(req *request) *endpoint {
	var next *endpoint
	for _, ep := range b.endpoints.list {
		if !b.available(req, ep) || slices.Contains(req.checkedEndpoints, ep) {
			continue
		}
		if next == nil || ep.rotation.value > next.rotation.value {
			next = ep
		}
	}
	return next
}

func (b *Balancer) sendHealthCheck(ep *endpoint) {
	ep.healthCheck = healthCheckState{pending: true, sentAt: b.now}
	b.emit(Action{Kind: CheckHealth, Endpoint: ep.ID})
}

// onHealthCheckResult handles the result of a health check.
func (b *Balancer) onHealthCheckResult(ev HealthCheckResult) {
	ep := b.endpoints.byID[ev.Endpoint]
	if ep == nil {
		return
	}
	sentAt := b.now - ev.Duration
	switch {
	case ev.Result == OK:
		b.recordLoadReport(ep, ev.LoadReport)
		if ep.outlier.healthCheckFailed {
			ep.outlier.clear()
		}
		b.recordResponse(ep)
	case ev.Result == ConnReset || ev.Result == NotAttempted:
		// The connection broke, or there was none: another connection may work.
	case b.respondedSinceCheck(ep, sentAt): // only the health check was lost
		if ep.healthCheck.sentAt > sentAt+duplicateTolerance { // a later one is pending
			return
		}
	default: // nothing reaches it from here, or it reports that it is not healthy
		ep.outlier.recordFailedHealthCheck(b.now, b.longestObjective)
	}
	ep.healthCheck.pending = false
	b.resumeAwaitingChecks()
}

// respondedSinceCheck reports whether an endpoint responded after the result of a health check was due. The
// endpoint is reachable then, even if the result never arrived.
func (b *Balancer) respondedSinceCheck(ep *endpoint, checkedAt Milliseconds) bool {
	return ep.activity.lastResponseAt > checkedAt+reportLifetimeObjectives*b.longestObjective
}

// checksDone reports whether a request need not wait for its health checks any more.
func (b *Balancer) checksDone(req *request) bool {
	if b.now >= req.awaitChecksUntil {
		return true
	}
	pending := func(ep *endpoint) bool { return ep.healthCheck.pending }
	return !slices.ContainsFunc(req.checkedEndpoints, pending)
}

// resumeAwaitingChecks advances the requests that wait for health checks. It keeps those that still do.
func (b *Balancer) resumeAwaitingChecks() {
	waiting := b.checks.awaiting
	b.checks.awaiting = waiting[:0]
	for _, req := range waiting {
		b.advance(req)
		if !req.done && req.awaitChecksUntil > b.now {
			b.checks.awaiting = append(b.checks.awaiting, req)
		}
	}
}
