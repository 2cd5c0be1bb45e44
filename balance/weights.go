package balance

const (
	// localZoneGain sets how much the cost of other zones raises the weight of endpoints in the zone of this
	// sidecar: their affinity factor is multiplied by 1 + (localZoneGain * Costs.CrossZone)^2.
	localZoneGain = 85
	// connReuseGain sets how much the cost of a connection raises the weight of endpoints with an open
	// connection: their affinity factor is multiplied by
	// 1 + connReuseGain * Costs.NewConnection + connectFailureGain * connectFailures.fraction.
	connReuseGain = 4000
	// connectFailureGain sets how much failures to connect raise that weight, because they show that the
	// connection tables of endpoints are full. connectFailures.fraction is the recent fraction of attempts
	// that could not connect.
	connectFailureGain = 50
	// connectFailureSamples is the number of attempts over which that fraction is averaged.
	connectFailureSamples = 25
	// capacityPerRating is the capacity of an endpoint with a rating of 1, before anything is learned about
	// it. The unit is arbitrary: decisions depend on the ratios of capacities.
	capacityPerRating = 100
	// minCapacity keeps weights above 0, because a weight of 0 means that the endpoint is not a candidate. It
	// is in the unit of capacityPerRating.
	minCapacity = 1e-6
)

// candidateState holds the values of an endpoint that are computed for the current pick. loadComparable and
// inSlowStart are valid only for candidates.
type candidateState struct {
	capacity       float64 // effective capacity; see capacityPerRating
	weight         float64 // in the unit of capacity; 0: not a candidate
	loadComparable bool    // there is a fresh load report, or no candidate has one
	inSlowStart    bool    // the endpoint is in slow start
}

// connectFailures tracks the recent fraction of attempts that could not connect.
type connectFailures struct{ fraction float64 }

// recordAttempt adds an attempt that has ended.
func (f *connectFailures) recordAttempt(connectFailed bool) {
	f.fraction -= f.fraction / connectFailureSamples
	if connectFailed {
		f.fraction += 1. / connectFailureSamples
	}
}

// fleetTotals holds totals over the endpoints that are eligible for an attempt.
type fleetTotals struct {
	capacity       float64 // includes ejected endpoints
	anyFreshReport bool    // any candidate has a fresh load report
}

// updateWeights sets the weight of each endpoint. Endpoints that are not candidates get a weight of 0.
func (b *Balancer) updateWeights(req *request, policy ejectionPolicy) fleetTotals {
	var totals fleetTotals
	for _, ep := range b.endpoints.list {
		ep.candidate.weight = 0
		if !b.eligible(req, ep) {
			continue
		}
		ep.candidate.capacity = b.effectiveCapacity(ep)
		// Ejected endpoints are included, because the response rate that refills the slow-start tokens
		// includes their responses.
		totals.capacity += ep.candidate.capacity
		if b.ejected(ep) && policy == excludeEjected {
			continue
		}
		ep.candidate.weight = ep.candidate.capacity * b.affinityFactor(ep) * b.classHealthFactor(req, ep)
		ep.candidate.loadComparable = b.hasFreshReport(ep)
		ep.candidate.inSlowStart = b.inSlowStart(ep)
		totals.anyFreshReport = totals.anyFreshReport || ep.candidate.loadComparable
	}
	return totals
}

// updateCandidates prepares the candidates for bestCandidate: it completes loadComparable, and refills the
// tokens of the candidates in slow start.
func (b *Balancer) updateCandidates(totals fleetTotals) {
	for _, ep := range b.endpoints.list {
		// If no candidate has a fresh report, the attempts of this sidecar in flight are the best available
		// estimate.
		ep.candidate.loadComparable = ep.candidate.loadComparable || !totals.anyFreshReport
		if ep.candidate.weight > 0 && ep.candidate.inSlowStart {
			b.refillSlowStart(ep)
		}
	}
}

// effectiveCapacity returns the learned capacity, reduced by the health multiplier and by slow start.
func (b *Balancer) effectiveCapacity(ep *endpoint) float64 {
	rated := capacityPerRating * ep.ratingOrDefault()
	learned := rated * ep.ownCapacity.factor * ep.machineType.factor * ep.zone.capacity.factor
	return max(learned*ep.outlier.health(b.now)*b.slowStartCapacityFraction(ep), minCapacity)
}

// affinityFactor returns the factor that raises the weight of endpoints that avoid costs: endpoints in the
// zone of this sidecar, and endpoints that probably have an open connection and whose last attempt did not
// fail. A low cost of crossing zones has little effect, because it is squared. An endpoint in slow start has
// no open connections yet, but is treated as connected: otherwise it would get hardly any requests.
func (b *Balancer) affinityFactor(ep *endpoint) float64 {
	factor := 1.0
	if ep.Zone == b.cfg.Zone {
		localGain := localZoneGain * b.cfg.Costs.CrossZone
		factor += localGain * localGain
	}
	connected := ep.activity.mayBeConnected(b.now, b.cfg.ConnIdleTimeout)
	if b.inSlowStart(ep) || ep.outlier.consecutiveErrors == 0 && connected {
		factor *= 1 + connReuseGain*b.cfg.Costs.NewConnection + connectFailureGain*b.connectFailures.fraction
	}
	return factor
}
