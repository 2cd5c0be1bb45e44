package balance

const (
	// classScoreTimeConstant is the time constant with which a class's score at an endpoint loses its weight.
	// It is long because requests of a class with little traffic rarely reach a given endpoint.
	classScoreTimeConstant Milliseconds = 15000
	// classFailureTimeConstants is how long a class counts as failing after its last failure, as a multiple
	// of classScoreTimeConstant.
	classFailureTimeConstants = 2
	// classScoreGain is the weight of the latest result in the score.
	classScoreGain = 0.6
	// minClassHealthFactor is the lower bound of classHealthFactor. It keeps a few requests of a failing
	// class at each endpoint, so that a recovery is detected.
	minClassHealthFactor = 0.03
	// widespreadFailureScore is the mean score below which many endpoints fail a class, so that its requests
	// are expected to move to the endpoints in slow start (slowStartPolicy).
	widespreadFailureScore = 0.8
	// initialMeanClassScore is the mean score of a class without results. It counts in the mean like the
	// score of one more endpoint.
	initialMeanClassScore = 1.0
)

// classScore is the recent success rate of one class at one endpoint: an exponentially weighted mean of
// results, 1 (served) or 0 (failed). The health multiplier does not show an endpoint that fails only one
// class, because the successes of the other classes keep it at 1.
type classScore struct {
	value          float64
	updatedAt      Milliseconds
	rotationCredit float64 // rotation credit for the class, used while the class fails
}

// newClassScores returns the scores of an endpoint without history: one per class, and one for requests of
// classes that are no longer configured.
func newClassScores(classCount int) []classScore {
	scores := make([]classScore, classCount+1)
	for i := range scores {
		scores[i].updatedAt = longAgo
	}
	return scores
}

// weight returns the weight of the score, which decays from 1 to 0 with the time since the last result.
func (s *classScore) weight(now Milliseconds) float64 {
	return decay(now-s.updatedAt, classScoreTimeConstant)
}

// expectedSuccessRate returns the success rate that the score predicts. It moves from the score to the mean
// score of all endpoints as the weight of the score decays.
func (s *classScore) expectedSuccessRate(now Milliseconds, meanScore float64) float64 {
	return meanScore + (s.value-meanScore)*s.weight(now)
}

// record adds a result to the score: 1 (served) or 0 (failed).
func (s *classScore) record(now Milliseconds, result, meanScore float64) {
	expected := s.expectedSuccessRate(now, meanScore)
	s.value = expected + classScoreGain*(result-expected)
	s.updatedAt = now
}

// classScoreFor returns the endpoint's score for the class of a request.
func (ep *endpoint) classScoreFor(req *request) *classScore {
	if req.stats.index < 0 {
		return &ep.classScores[len(ep.classScores)-1]
	}
	return &ep.classScores[req.stats.index]
}

// classHealthFactor returns the factor by which the score for the request's class lowers an endpoint's
// weight, while any endpoint fails the class. For an endpoint without recent results, the mean score is used:
// a sidecar with few requests then prefers endpoints that are known to serve the class. Errors count no
// matter how quickly they are returned. A limitation: if a single sidecar causes most of the load, it may
// overload the few endpoints that serve the class.
func (b *Balancer) classHealthFactor(req *request, ep *endpoint) float64 {
	if !b.classFailing(req) {
		return 1
	}
	score := ep.classScoreFor(req).expectedSuccessRate(b.now, req.stats.meanScore)
	return max(score*score, minClassHealthFactor)
}

// classFailing reports whether an endpoint has failed the request's class recently.
func (b *Balancer) classFailing(req *request) bool {
	return b.now <= req.stats.lastFailureAt+classFailureTimeConstants*classScoreTimeConstant
}

// updateMeanClassScore computes the mean of all endpoints' scores for the request's class, each with its
// remaining weight. The mean score of a class that does not fail is initialMeanClassScore.
func (b *Balancer) updateMeanClassScore(req *request) {
	sum, weight := initialMeanClassScore, 1.0
	if b.classFailing(req) {
		for _, ep := range b.endpoints.list {
			score := ep.classScoreFor(req)
			scoreWeight := score.weight(b.now)
			sum += scoreWeight * score.value
			weight += scoreWeight
		}
	}
	req.stats.meanScore = sum / weight
}

// recordClassResult updates an endpoint's score for the request's class with the result of an attempt.
// Results other than OK, ServerError and TimedOut are ignored.
func (b *Balancer) recordClassResult(req *request, ep *endpoint, result Result) {
	served := 1.0
	switch result {
	case OK:
	case ServerError, TimedOut:
		served = 0
		b.initClassRotationCredits(req)
		req.stats.lastFailureAt = b.now
	default:
		return
	}
	ep.classScoreFor(req).record(b.now, served, req.stats.meanScore)
}

// initClassRotationCredits gives the request's class its own rotation credits, copied from the shared ones,
// unless the class is failing already.
func (b *Balancer) initClassRotationCredits(req *request) {
	if b.classFailing(req) {
		return
	}
	for _, ep := range b.endpoints.list {
		ep.classScoreFor(req).rotationCredit = ep.rotation.credit
	}
}
