package balance

const (
	// localZoneGain, times the cost of crossing zones and squared, is added to the affinity of the own zone.
	localZoneGain = 85
	// connReuseGain, times the cost of a connection, is added to the affinity of a connected endpoint.
	connReuseGain = 4000
	// connectFailureGain, times the recent fraction of attempts that could not connect, is added, too: the
	// connection tables are full then.
	connectFailureGain = 50
	// connectFailureSamples is the number of attempts over which that fraction is taken.
	connectFailureSamples = 25
	// capacityUnit scales capacities: an endpoint of rating 1 has this capacity.
	capacityUnit = 100
	// minCapacity keeps weights above 0.
	minCapacity = 1e-6
)

// candidateState is an endpoint as the current pick sees it.
type candidateState struct {
	capacity  float64 // effective capacity, in the unit of the weights
	weight    float64 // 0: not a candidate
	loadKnown bool    // the load is known as well as possible
	warmingUp bool    // of a candidate: the endpoint is in its warm-up
}

// connectFailures is the recent fraction of attempts that could not connect.
type connectFailures struct{ fraction float64 }

// record adds the end of an attempt.
func (f *connectFailures) record(failed bool) {
	f.fraction -= f.fraction / connectFailureSamples
	if failed {
		f.fraction += 1. / connectFailureSamples
	}
}

// fleetTotals sums up the endpoints that are eligible for an attempt, ejected ones included.
type fleetTotals struct {
	capacity    float64
	loadReports bool // any candidate has a fresh load report
}

// updateWeights sets the weight of each endpoint, 0 for those that are no candidates.
func (b *Balancer) updateWeights(req *request, policy ejectionPolicy) fleetTotals {
	var totals fleetTotals
	for _, ep := range b.endpoints.list {
		ep.candidate.weight = 0
		if !b.eligible(req, ep) {
			continue
		}
		ep.candidate.capacity = b.effectiveCapacity(ep)
		// Ejected endpoints count, too: their responses are in the rate that refills the slow-start tokens.
		totals.capacity += ep.candidate.capacity
		if b.ejected(ep) && policy == excludeEjected {
			continue
		}
		ep.candidate.weight = ep.candidate.capacity * b.affinityFactor(ep) * b.classFactor(req, ep)
		ep.candidate.loadKnown = b.hasFreshReport(ep)
		ep.candidate.warmingUp = b.warmingUp(ep)
		totals.loadReports = totals.loadReports || ep.candidate.loadKnown
	}
	return totals
}

// prepareCandidates completes what bestCandidate reads of the candidates: whether their load is known, and
// the tokens of those that warm up.
func (b *Balancer) prepareCandidates(totals fleetTotals) {
	for _, ep := range b.endpoints.list {
		// Without any report, the own attempts in flight are all there is.
		ep.candidate.loadKnown = ep.candidate.loadKnown || !totals.loadReports
		if ep.candidate.weight > 0 && ep.candidate.warmingUp {
			b.refillSlowStart(ep)
		}
	}
}

// effectiveCapacity returns the learned capacity times the health multiplier and the warm-up fraction.
func (b *Balancer) effectiveCapacity(ep *endpoint) float64 {
	rated := capacityUnit * ep.ratingOrDefault()
	learned := rated * ep.ownCapacity.factor * ep.machineType.factor * ep.zone.capacity.factor
	return max(learned*ep.outlier.health(b.now)*b.warmUpFraction(ep), minCapacity)
}

// affinityFactor raises the weight of endpoints that avoid a cost: those of the own zone (a low cost of
// crossing zones hardly counts), and those with an open connection that did not just fail. An endpoint that
// warms up has no connections yet, and counts as connected.
func (b *Balancer) affinityFactor(ep *endpoint) float64 {
	factor := 1.0
	if ep.Zone == b.cfg.Zone {
		localGain := localZoneGain * b.cfg.Costs.CrossZone
		factor += localGain * localGain
	}
	connected := ep.activity.mayBeConnected(b.now, b.cfg.ConnIdleTimeout)
	if b.warmingUp(ep) || ep.outlier.consecutiveErrors == 0 && connected {
		factor *= 1 + connReuseGain*b.cfg.Costs.NewConnection + connectFailureGain*b.connectFailures.fraction
	}
	return factor
}
