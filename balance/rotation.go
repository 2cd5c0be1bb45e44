package balance

import "math"

// boundedLoadFactor bounds the load (consistent hashing with bounded loads, applied to the rotation): an
// endpoint above this part of its share of the requests in flight is passed over. The bound is rounded up, so
// that each endpoint may have one.
const boundedLoadFactor = 0.4

// Running values, in turns, stay within these bounds: an endpoint that is passed over for long is not owed
// more.
const (
	minRotationValue = -1
	maxRotationValue = 1
)

// ejectionPolicy says whether ejected endpoints are candidates.
type ejectionPolicy bool

const (
	excludeEjected ejectionPolicy = false
	includeEjected ejectionPolicy = true
)

// rotation is the state of the smooth weighted round robin that is not of a single endpoint.
type rotation struct {
	level        float64 // running value of the last endpoint picked
	poolCapacity float64 // sum of the capacities of all candidates of the last first attempt
}

// rotationEntry is an endpoint's place in the rotation.
type rotationEntry struct {
	value            float64 // running value, in turns
	active           bool    // value has its random start
	enteredWarmingUp bool    // ... which it got during the warm-up
}

// leave makes the endpoint enter the rotation anew at the next pick.
func (e *rotationEntry) leave() { e.active = false }

// pickTotals sums up the candidates of a pick.
type pickTotals struct {
	weight            float64
	inFlightPerWeight float64 // bound of a candidate's requests in flight, per unit of its weight
}

// rankedCandidate is an endpoint that may get an attempt.
type rankedCandidate struct {
	*endpoint
	overLimit bool // it has more than its part of the requests in flight, or its load is not known
}

// pick chooses the endpoint of an attempt, or nil: by smooth weighted round robin for a first attempt, and
// for a retry the healthiest untried endpoint of those below their limit. Both are charged to the
// endpoint's running value.
func (b *Balancer) pick(req *request, kind attemptKind) *endpoint {
	totals := b.updateRotation(req, kind, excludeEjected)
	if totals.weight == 0 { // all are ejected: the cause is probably not in the endpoints
		totals = b.updateRotation(req, kind, includeEjected)
	}
	best := b.bestCandidate(req, kind, totals)
	if best != nil {
		value := b.rotationValue(req, best)
		b.rotation.level = *value
		*value = max(*value-1, minRotationValue)
	}
	return best
}

// bestCandidate returns the candidate that precedes all others, or nil.
func (b *Balancer) bestCandidate(req *request, kind attemptKind, totals pickTotals) *endpoint {
	policy := b.slowStartPolicy(req)
	var best rankedCandidate
	for _, ep := range b.endpoints.list {
		if ep.candidate.weight == 0 || !b.slowStartAllows(ep, policy) {
			continue
		}
		next := rankedCandidate{endpoint: ep, overLimit: b.overLimit(req, ep, totals)}
		if best.endpoint == nil || b.precedes(req, kind, next, best) {
			best = next
		}
	}
	return best.endpoint
}

// overLimit reports whether an endpoint is to be passed over, because it is slow, hangs or is overloaded,
// or because its load is not known. It keeps its running value.
func (b *Balancer) overLimit(req *request, ep *endpoint, totals pickTotals) bool {
	bound := math.Ceil(totals.inFlightPerWeight * ep.candidate.weight)
	withinBound := b.estimatedInFlight(ep)+1 <= bound
	return !ep.candidate.loadKnown || ep.healthCheck.pending || !withinBound || b.overloaded(req, ep)
}

// updateRotation sets the weights, and adds to each candidate's running value its part of the total weight.
func (b *Balancer) updateRotation(req *request, kind attemptKind, policy ejectionPolicy) pickTotals {
	b.updateMeanScore(req)
	fleet := b.updateWeights(req, policy)
	if kind == firstAttempt && fleet.capacity > 0 {
		b.rotation.poolCapacity = fleet.capacity // before any slow-start tokens depend on it
	}
	b.prepareCandidates(fleet)
	if kind == firstAttempt {
		b.restrictToStickyEndpoints(req)
	}
	var totals pickTotals
	inFlight, knownWeight := 1.0, 0.0
	for _, ep := range b.endpoints.list {
		totals.weight += ep.candidate.weight
		if ep.candidate.weight > 0 && ep.candidate.loadKnown {
			inFlight += b.estimatedInFlight(ep)
			knownWeight += ep.candidate.weight
		}
	}
	totals.inFlightPerWeight = boundedLoadFactor * inFlight / knownWeight
	b.advanceRotation(req, kind, totals.weight)
	return totals
}

// advanceRotation adds to the running values. A new candidate's value starts at random within the turn
// before the last endpoint picked.
func (b *Balancer) advanceRotation(req *request, kind attemptKind, totalWeight float64) {
	for _, ep := range b.endpoints.list {
		if ep.candidate.weight == 0 {
			continue
		}
		warmingUp := ep.candidate.warmingUp
		if !ep.rotation.active || ep.rotation.enteredWarmingUp && !warmingUp {
			value := b.rotation.level - b.random.next()
			ep.rotation = rotationEntry{value: value, active: true, enteredWarmingUp: warmingUp}
			*b.rotationValue(req, ep) = value
		}
		if kind == firstAttempt {
			value := b.rotationValue(req, ep)
			*value = min(*value+ep.candidate.weight/totalWeight, maxRotationValue)
		}
	}
}

// rotationCredit returns the running value of an endpoint. A failing class has its own: the endpoints that
// fail it would get its requests by the turns that the weights of other classes give them.
func (b *Balancer) rotationValue(req *request, ep *endpoint) *float64 {
	if b.classFailing(req) {
		return &ep.scoreFor(req).rotationCredit
	}
	return &ep.rotation.value
}

// precedes reports whether an attempt goes to next rather than to best.
func (b *Balancer) precedes(req *request, kind attemptKind, next, best rankedCandidate) bool {
	if next.overLimit != best.overLimit {
		return best.overLimit
	}
	if !next.overLimit {
		return b.precedesInRotation(req, kind, next.endpoint, best.endpoint)
	}
	if next.candidate.loadKnown != best.candidate.loadKnown { // a known load, even if high, is better
		return next.candidate.loadKnown
	}
	nextOverloaded := b.overloaded(req, next.endpoint)
	bestOverloaded := b.overloaded(req, best.endpoint)
	if nextOverloaded != bestOverloaded {
		return bestOverloaded
	}
	if kind == firstAttempt { // the least loaded endpoint
		nextLoad := (b.estimatedInFlight(next.endpoint) + 1) * best.candidate.weight
		bestLoad := (b.estimatedInFlight(best.endpoint) + 1) * next.candidate.weight
		return nextLoad < bestLoad
	}
	return b.precedesInRotation(req, kind, next.endpoint, best.endpoint)
}

// precedesInRotation compares the running values, and for a retry the health first.
func (b *Balancer) precedesInRotation(req *request, kind attemptKind, next, best *endpoint) bool {
	if kind == retryAttempt {
		nextHealth := next.outlier.health(b.now) * b.classFactor(req, next)
		bestHealth := best.outlier.health(b.now) * b.classFactor(req, best)
		if nextHealth != bestHealth {
			return nextHealth > bestHealth
		}
	}
	return *b.rotationValue(req, next) > *b.rotationValue(req, best)
}

// available reports whether an endpoint may get the request and is not ejected.
func (b *Balancer) available(req *request, ep *endpoint) bool {
	return b.eligible(req, ep) && !b.ejected(ep)
}

// eligible reports whether the endpoint's state and the retry policy allow the next attempt there.
func (b *Balancer) eligible(req *request, ep *endpoint) bool {
	untried := len(req.attempts) == 0
	return ep.State == Ready && (untried || req.mayExecuteAt(ep, b.now))
}
