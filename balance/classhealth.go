package balance

const (
	// classScoreLifetime is the time constant of a class's score at an endpoint. It is long because classes
	// with little traffic reach an endpoint rarely.
	classScoreLifetime Milliseconds = 15000
	// classScoreGain is the weight of one result in the score.
	classScoreGain = 0.6
	// minClassFactor keeps some requests of a class at each endpoint, so that its recovery is noticed.
	minClassFactor = 0.03
	// failingClassScore is the mean score below which requests move from warm endpoints to those warming up.
	failingClassScore = 0.8
)

// classFactor returns the factor of an endpoint's weight that follows from its score for the request's class,
// while the class fails anywhere. It is needed because some endpoints fail one class and serve the others,
// whose successes keep the health multiplier at 1. An endpoint without recent results counts as the mean of
// the others, so that a sidecar with few requests prefers endpoints known to serve the class. The factor also
// covers errors that are returned fast. Where one sidecar causes most of the load, it may overload the few
// good endpoints.
func (b *Balancer) classFactor(req *request, ep *endpoint) float64 {
	if !b.classFailing(req) {
		return 1
	}
	score := b.expectedScore(req, ep)
	return max(score*score, minClassFactor)
}

// expectedScore returns an endpoint's score for the request's class. Old scores regress to the mean.
func (b *Balancer) expectedScore(req *request, ep *endpoint) float64 {
	score := *ep.scoreFor(req)
	return req.stats.meanScore + (score.value-req.stats.meanScore)*b.scoreDecay(score)
}

// classFailing reports whether an endpoint has failed the request's class recently.
func (b *Balancer) classFailing(req *request) bool {
	return b.now <= req.stats.lastFailureAt+2*classScoreLifetime
}

func (b *Balancer) scoreDecay(score classScore) float64 {
	return decay(b.now-score.updatedAt, classScoreLifetime)
}

// updateMeanScore computes the mean score of a failing class over all endpoints.
func (b *Balancer) updateMeanScore(req *request) {
	sum, weight := 1.0, 1.0
	if b.classFailing(req) {
		for _, ep := range b.endpoints {
			score := *ep.scoreFor(req)
			sum += b.scoreDecay(score) * score.value
			weight += b.scoreDecay(score)
		}
	}
	req.stats.meanScore = sum / weight
}

// recordClassResult updates an endpoint's score for the request's class by the result of an attempt.
func (b *Balancer) recordClassResult(req *request, ep *endpoint, result Result) {
	newValue := 1.0
	switch result {
	case OK:
	case ServerError, TimedOut:
		newValue = 0
		b.startClassRotation(req)
		req.stats.lastFailureAt = b.now
	default:
		return
	}
	expected := b.expectedScore(req, ep)
	score := ep.scoreFor(req)
	score.value = expected + classScoreGain*(newValue-expected)
	score.updatedAt = b.now
}

// startClassRotation gives a class that starts to fail its own running values, a copy of the common ones.
func (b *Balancer) startClassRotation(req *request) {
	if b.classFailing(req) {
		return
	}
	for _, ep := range b.endpoints {
		ep.scoreFor(req).rotationValue = ep.rotationValue
	}
}
