package balance

import "math"

const (
	// boundedLoadFactor bounds the load (consistent hashing with bounded loads, applied to the rotation): an
	// endpoint above this multiple of its part of the requests in flight is passed over.
	boundedLoadFactor = 0.4
	// localZoneGain, times the cost of crossing zones and squared, is added to the affinity of the own zone.
	localZoneGain = 85
	// connReuseGain, times the cost of a connection, is added to the affinity of a connected endpoint.
	connReuseGain = 4000
	// connectFailureGain, times the recent fraction of attempts that could not connect, is added, too: the
	// connection tables are full then.
	connectFailureGain = 50
	// reportedLoadObjective is the time in which an endpoint must be able to answer by its load report, in
	// latency objectives.
	reportedLoadObjective = 0.75
	// capacityUnit scales capacities: an endpoint of rating 1 has this capacity.
	capacityUnit = 100
	// minCapacity keeps weights above 0.
	minCapacity = 1e-6
)

// ejectionPolicy says whether ejected endpoints are candidates.
type ejectionPolicy bool

const (
	excludeEjected ejectionPolicy = false
	includeEjected ejectionPolicy = true
)

// rotationState is the result of updateRotation.
type rotationState struct {
	totalWeight       float64 // of all candidates
	inFlightPerWeight float64 // bound of a candidate's requests in flight, per unit of its weight
}

// candidate is an endpoint that may get an attempt.
type candidate struct {
	*endpoint
	overLimit bool // it has more than its part of the requests in flight, or its load is not known
}

// pick chooses the endpoint of an attempt, or nil: by smooth weighted round robin for a first attempt, and
// the healthiest untried endpoint for a retry. Both are charged to the endpoint's running value.
func (b *Balancer) pick(req *request, kind attemptKind) *endpoint {
	rotation := b.updateRotation(req, kind, excludeEjected)
	if rotation.totalWeight == 0 { // all are ejected: the cause is probably not in the endpoints
		rotation = b.updateRotation(req, kind, includeEjected)
	}
	best := b.bestCandidate(req, kind, rotation)
	if best != nil {
		value := b.rotationValueOf(req, best)
		b.rotationLevel = *value
		*value = max(*value-1, -1)
	}
	return best
}

// bestCandidate returns the candidate that precedes all others, or nil.
func (b *Balancer) bestCandidate(req *request, kind attemptKind, rotation rotationState) *endpoint {
	policy := anyToken
	if b.classFailing(req) && req.stats.meanScore < failingClassScore {
		policy = recentToken
	}
	var best candidate
	for _, ep := range b.endpoints {
		if ep.weight == 0 || b.warmingUp(ep) && !b.slowStartAllows(ep, policy) {
			continue
		}
		next := candidate{endpoint: ep, overLimit: b.overLimit(req, ep, rotation)}
		if best.endpoint == nil || b.precedes(req, kind, next, best) {
			best = next
		}
	}
	return best.endpoint
}

// overLimit reports whether an endpoint is to be passed over, because it is slow, hangs or is overloaded, or
// because its load is not known. It keeps its running value.
func (b *Balancer) overLimit(req *request, ep *endpoint, rotation rotationState) bool {
	withinBound := b.estimatedInFlight(ep)+1 <= math.Ceil(rotation.inFlightPerWeight*ep.weight)
	return !ep.loadKnown || ep.checkPending || !withinBound || b.overloaded(req, ep)
}

// updateRotation sets the weights, and adds to each candidate's running value its part of the total weight.
func (b *Balancer) updateRotation(req *request, kind attemptKind, policy ejectionPolicy) rotationState {
	b.updateMeanScore(req)
	b.updateWeights(req, kind, policy)
	if kind == firstAttempt {
		b.restrictToStickyEndpoints(req)
	}
	var rotation rotationState
	inFlight, knownWeight := 1.0, 0.0
	for _, ep := range b.endpoints {
		rotation.totalWeight += ep.weight
		if ep.weight > 0 && ep.loadKnown {
			inFlight += b.estimatedInFlight(ep)
			knownWeight += ep.weight
		}
	}
	rotation.inFlightPerWeight = boundedLoadFactor * inFlight / knownWeight
	b.advanceRotation(req, kind, rotation.totalWeight)
	return rotation
}

// updateWeights sets the weight of each endpoint, 0 for those that are no candidates.
func (b *Balancer) updateWeights(req *request, kind attemptKind, policy ejectionPolicy) {
	anyReport, pool := false, 0.0
	for _, ep := range b.endpoints {
		ep.weight = 0
		if !b.eligible(req, ep) {
			continue
		}
		ep.capacity = b.effectiveCapacity(ep)
		// Ejected endpoints count, too: their answers are in the rate that fills the slow-start tokens.
		pool += ep.capacity
		if b.ejected(ep) && policy == excludeEjected {
			continue
		}
		ep.weight = ep.capacity * b.affinityFactor(ep) * b.classFactor(req, ep)
		ep.loadKnown = b.hasFreshReport(ep)
		anyReport = anyReport || ep.loadKnown
	}
	for _, ep := range b.endpoints { // without any report, the own attempts in flight are all there is
		ep.loadKnown = ep.loadKnown || !anyReport
	}
	if kind == firstAttempt && pool > 0 {
		b.poolCapacity = pool // before any slow-start tokens depend on it
	}
}

// advanceRotation adds to the running values, which count in turns. A new candidate's value starts at random
// within the turn before the last endpoint picked.
func (b *Balancer) advanceRotation(req *request, kind attemptKind, totalWeight float64) {
	for _, ep := range b.endpoints {
		if ep.weight == 0 {
			continue
		}
		warmingUp := b.warmingUp(ep)
		if !ep.inRotation || ep.enteredWarmingUp && !warmingUp {
			ep.rotationValue = b.rotationLevel - b.random()
			ep.inRotation = true
			ep.enteredWarmingUp = warmingUp
			*b.rotationValueOf(req, ep) = ep.rotationValue
		}
		if kind == firstAttempt {
			value := b.rotationValueOf(req, ep)
			*value = min(*value+ep.weight/totalWeight, 1)
		}
	}
}

// precedes reports whether an attempt goes to next rather than to best.
func (b *Balancer) precedes(req *request, kind attemptKind, next, best candidate) bool {
	if next.overLimit != best.overLimit {
		return best.overLimit
	}
	if !next.overLimit {
		return b.precedesInRotation(req, kind, next.endpoint, best.endpoint)
	}
	if next.loadKnown != best.loadKnown { // a known load, even if high, is better than an unknown one
		return next.loadKnown
	}
	nextOverloaded := b.overloaded(req, next.endpoint)
	bestOverloaded := b.overloaded(req, best.endpoint)
	if nextOverloaded != bestOverloaded {
		return bestOverloaded
	}
	if kind == firstAttempt { // the least loaded endpoint
		nextLoad := (b.estimatedInFlight(next.endpoint) + 1) * best.weight
		return nextLoad < (b.estimatedInFlight(best.endpoint)+1)*next.weight
	}
	return b.precedesInRotation(req, kind, next.endpoint, best.endpoint)
}

// precedesInRotation compares the running values, and for a retry the health first.
func (b *Balancer) precedesInRotation(req *request, kind attemptKind, next, best *endpoint) bool {
	if kind == retryAttempt {
		nextHealth := b.health(next) * b.classFactor(req, next)
		bestHealth := b.health(best) * b.classFactor(req, best)
		if nextHealth != bestHealth {
			return nextHealth > bestHealth
		}
	}
	return *b.rotationValueOf(req, next) > *b.rotationValueOf(req, best)
}

// available reports whether an endpoint may get the request and is not ejected.
func (b *Balancer) available(req *request, ep *endpoint) bool {
	return b.eligible(req, ep) && !b.ejected(ep)
}

// eligible reports whether the idempotency rules and the endpoint's state allow the next attempt there.
func (b *Balancer) eligible(req *request, ep *endpoint) bool {
	if ep.State != Ready {
		return false
	}
	for _, a := range req.attempts {
		if a.endpoint == ep {
			return false
		}
		if a.neverExecuted || req.class.Idempotency != IdempotencyKey {
			continue
		}
		// An attempt that may have been executed binds the request to the endpoints that know its key.
		if b.keyForgotten(req, a) || !req.class.DedupScope.includes(a.endpoint, ep) {
			return false
		}
	}
	return true
}

// effectiveCapacity returns the learned capacity times the health multiplier and the warm-up fraction.
func (b *Balancer) effectiveCapacity(ep *endpoint) float64 {
	rated := capacityUnit * ep.ratingOrDefault()
	capacity := rated * ep.learned.factor * ep.machineType.factor * ep.zone.factor
	return max(capacity*b.health(ep)*b.warmUpFraction(ep), minCapacity)
}

// affinityFactor raises the weight of endpoints that avoid a cost: those of the own zone (a low cost of
// crossing zones hardly counts), and those with an open connection that did not just fail. An endpoint that
// warms up has no connections yet, and counts as connected.
func (b *Balancer) affinityFactor(ep *endpoint) float64 {
	factor := 1.0
	if ep.Zone == b.cfg.Zone {
		factor += (localZoneGain * b.cfg.Costs.CrossZone) * (localZoneGain * b.cfg.Costs.CrossZone)
	}
	connected := ep.lastSendAt <= b.now && b.now < ep.lastSendAt+b.cfg.ConnIdleTimeout
	if b.warmingUp(ep) || ep.consecutiveErrors == 0 && connected {
		factor *= 1 + connReuseGain*b.cfg.Costs.NewConnection + connectFailureGain*b.connectFailureFraction
	}
	return factor
}

// rotationValueOf returns the running value of an endpoint. A failing class has its own: the endpoints that
// fail it would get its requests by the turns that the weights of other classes give them.
func (b *Balancer) rotationValueOf(req *request, ep *endpoint) *float64 {
	if b.classFailing(req) {
		return &ep.scoreFor(req).rotationValue
	}
	return &ep.rotationValue
}

// overloaded reports whether an endpoint would answer a first attempt too late, by its load report. If the
// best endpoint is overloaded, all are.
func (b *Balancer) overloaded(req *request, ep *endpoint) bool {
	if len(req.attempts) > 0 || !b.hasFreshReport(ep) {
		return false
	}
	answerAt := b.now + b.timePerInFlight.scaled(b.estimatedInFlight(ep)+1)
	return answerAt > req.arrivedAt+reportedLoadObjective*req.class.LatencyObjective
}

// estimatedInFlight returns the best estimate of an endpoint's requests in flight: a fresh load report and
// the attempts since then, or otherwise the attempts of this sidecar.
func (b *Balancer) estimatedInFlight(ep *endpoint) float64 {
	if b.hasFreshReport(ep) {
		return ep.reportedInFlight + ep.sentSinceReport
	}
	return float64(ep.inFlight)
}
