package balance

import "math"

// maxFractionOfFairShare limits an endpoint's requests in flight to a fraction of its fair share: its share
// by weight of all requests in flight. An endpoint is avoided if an attempt would exceed the limit, which is
// rounded up to allow at least one request in flight. The fraction is below 1, so when there are many
// requests in flight, even an endpoint with an average load is avoided. If all candidates are avoided for
// that reason, a first attempt goes to the one with the fewest requests in flight per weight.
const maxFractionOfFairShare = 0.4

// ownInFlight counts the attempt that is about to be sent in the total of all requests in flight.
const ownInFlight = 1.0

// initialPickedCredit takes the place of the credit of the last picked endpoint before the first pick.
const initialPickedCredit = 1

// Limits of an endpoint's rotation credit, in attempts. An endpoint that is not picked for a long time does
// not accumulate more credit than this.
const (
	minRotationCredit = -1
	maxRotationCredit = 1
)

// ejectionPolicy determines whether ejected endpoints are candidates.
type ejectionPolicy bool

const (
	excludeEjected ejectionPolicy = false
	includeEjected ejectionPolicy = true
)

// rotation is the part of the state of the smooth weighted round robin that all endpoints share.
type rotation struct {
	lastPickedCredit float64 // credit of the last picked endpoint, before the attempt was charged
	totalCapacity    float64 // total capacity of the eligible endpoints at the last first attempt
}

// rotationEntry is the state of one endpoint in the smooth weighted round robin. Each first attempt
// distributes a credit of 1 among the candidates in proportion to their weights, and each attempt costs its
// endpoint a credit of 1. The candidate with the highest credit is next.
type rotationEntry struct {
	credit                 float64 // in attempts
	initialized            bool    // the credit has been initialized
	initializedInSlowStart bool    // the endpoint was in slow start when the credit was initialized
}

// resetCredit makes the next pick initialize the credit again.
func (e *rotationEntry) resetCredit() { e.initialized = false }

// pickTotals holds totals over the candidates of a pick.
type pickTotals struct {
	weight               float64
	maxInFlightPerWeight float64 // limit of a candidate's requests in flight, per unit of its weight
}

// pickCandidate is a candidate of a pick, with the result of shouldAvoid.
type pickCandidate struct {
	*endpoint
	avoided bool // picked only if all candidates are to be avoided
}

// pickEndpoint returns the endpoint for the next attempt, or nil if there is none. A first attempt follows
// the smooth weighted round robin. A retry goes to the healthiest endpoint that the request has not tried, if
// possible to one that need not be avoided. Both cost the endpoint rotation credit.
func (b *Balancer) pickEndpoint(req *request, kind attemptKind) *endpoint {
	totals := b.updateRotation(req, kind, excludeEjected)
	if totals.weight == 0 { // all are ejected, so the cause is probably not in the endpoints
		totals = b.updateRotation(req, kind, includeEjected)
	}
	best := b.bestCandidate(req, kind, totals)
	if best != nil {
		credit := b.rotationCredit(req, best)
		b.rotation.lastPickedCredit = *credit
		*credit = max(*credit-1, minRotationCredit)
	}
	return best
}

// bestCandidate returns the best candidate by isBetterCandidate, or nil if no candidate may get an attempt.
func (b *Balancer) bestCandidate(req *request, kind attemptKind, totals pickTotals) *endpoint {
	policy := b.slowStartPolicy(req)
	var best pickCandidate
	for _, ep := range b.endpoints.list {
		if ep.candidate.weight == 0 || !b.slowStartAllows(ep, policy) {
			continue
		}
		next := pickCandidate{endpoint: ep, avoided: b.shouldAvoid(req, ep, totals)}
		if best.endpoint == nil || b.isBetterCandidate(req, kind, next, best) {
			best = next
		}
	}
	return best.endpoint
}

// shouldAvoid reports whether the attempt should rather go to another candidate. This is the case if the
// endpoint has too many requests in flight, because it is slow or hangs, if its health check is pending, if
// it is overloaded, or if its load is not comparable. An avoided endpoint keeps its rotation credit.
func (b *Balancer) shouldAvoid(req *request, ep *endpoint, totals pickTotals) bool {
	limit := math.Ceil(totals.maxInFlightPerWeight * ep.candidate.weight)
	withinLimit := b.estimatedInFlight(ep)+1 <= limit
	return !ep.candidate.loadComparable || ep.healthCheck.pending || !withinLimit || b.overloaded(req, ep)
}

// updateRotation computes the weights of all endpoints and, for a first attempt, distributes rotation credit.
func (b *Balancer) updateRotation(req *request, kind attemptKind, policy ejectionPolicy) pickTotals {
	b.updateMeanClassScore(req)
	fleet := b.updateWeights(req, policy)
	if kind == firstAttempt && fleet.capacity > 0 {
		b.rotation.totalCapacity = fleet.capacity // updateCandidates uses it to refill slow-start tokens
	}
	b.updateCandidates(fleet)
	if kind == firstAttempt {
		b.restrictToStickyEndpoints(req)
	}
	var totals pickTotals
	inFlight, comparableWeight := ownInFlight, 0.0
	for _, ep := range b.endpoints.list {
		totals.weight += ep.candidate.weight
		if ep.candidate.weight > 0 && ep.candidate.loadComparable {
			inFlight += b.estimatedInFlight(ep)
			comparableWeight += ep.candidate.weight
		}
	}
	totals.maxInFlightPerWeight = maxFractionOfFairShare * inFlight / comparableWeight
	b.updateRotationCredits(req, kind, totals.weight)
	return totals
}

// updateRotationCredits initializes the credit of candidates that are new to the rotation or have left slow
// start. For a first attempt, it then adds to each candidate's credit its fraction of the total weight. The
// initial credit is random, up to 1 below the credit of the last picked endpoint, so that sidecars do not all
// pick such an endpoint at the same time.
func (b *Balancer) updateRotationCredits(req *request, kind attemptKind, totalWeight float64) {
	for _, ep := range b.endpoints.list {
		if ep.candidate.weight == 0 {
			continue
		}
		inSlowStart := ep.candidate.inSlowStart
		if !ep.rotation.initialized || ep.rotation.initializedInSlowStart && !inSlowStart {
			credit := b.rotation.lastPickedCredit - b.random.next()
			ep.rotation = rotationEntry{
				credit: credit, initialized: true, initializedInSlowStart: inSlowStart,
			}
			*b.rotationCredit(req, ep) = credit
		}
		if kind == firstAttempt {
			credit := b.rotationCredit(req, ep)
			*credit = min(*credit+ep.candidate.weight/totalWeight, maxRotationCredit)
		}
	}
}

// rotationCredit returns the credit of an endpoint for a request. A failing class has separate credits:
// otherwise endpoints that fail the class would get its requests with the credit that they earn by their
// weights for other classes.
func (b *Balancer) rotationCredit(req *request, ep *endpoint) *float64 {
	if b.classFailing(req) {
		return &ep.classScoreFor(req).rotationCredit
	}
	return &ep.rotation.credit
}

// isBetterCandidate reports whether an attempt should go to next rather than to best, the best candidate so
// far.
func (b *Balancer) isBetterCandidate(req *request, kind attemptKind, next, best pickCandidate) bool {
	if next.avoided != best.avoided {
		return best.avoided
	}
	if !next.avoided {
		return b.isBetterInRotation(req, kind, next.endpoint, best.endpoint)
	}
	// A comparable load is better, even if it is high.
	if next.candidate.loadComparable != best.candidate.loadComparable {
		return next.candidate.loadComparable
	}
	nextOverloaded := b.overloaded(req, next.endpoint)
	bestOverloaded := b.overloaded(req, best.endpoint)
	if nextOverloaded != bestOverloaded {
		return bestOverloaded
	}
	if kind == firstAttempt { // the load per weight, cross-multiplied to avoid a division
		nextLoad := (b.estimatedInFlight(next.endpoint) + 1) * best.candidate.weight
		bestLoad := (b.estimatedInFlight(best.endpoint) + 1) * next.candidate.weight
		return nextLoad < bestLoad
	}
	return b.isBetterInRotation(req, kind, next.endpoint, best.endpoint)
}

// isBetterInRotation reports whether next has more rotation credit than best. For a retry, a difference in
// health decides first.
func (b *Balancer) isBetterInRotation(req *request, kind attemptKind, next, best *endpoint) bool {
	if kind == retryAttempt {
		nextHealth := next.outlier.health(b.now) * b.classHealthFactor(req, next)
		bestHealth := best.outlier.health(b.now) * b.classHealthFactor(req, best)
		if nextHealth != bestHealth {
			return nextHealth > bestHealth
		}
	}
	return *b.rotationCredit(req, next) > *b.rotationCredit(req, best)
}

// eligibleAndNotEjected reports whether an endpoint is eligible for the next attempt and not ejected.
func (b *Balancer) eligibleAndNotEjected(req *request, ep *endpoint) bool {
	return b.eligible(req, ep) && !b.ejected(ep)
}

// eligible reports whether an endpoint is ready and the retry policy allows the next attempt there.
func (b *Balancer) eligible(req *request, ep *endpoint) bool {
	noAttemptYet := len(req.attempts) == 0
	return ep.State == Ready && (noAttemptYet || req.mayAttemptAt(ep, b.now))
}
