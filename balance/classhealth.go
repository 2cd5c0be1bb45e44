package balance

const (
	// classScoreLifetime is the time constant of a class's score at an endpoint. It is long because classes
	// with little traffic reach an endpoint rarely.
	classScoreLifetime Milliseconds = 15000
	// classFailureLifetimes is how long a class counts as failing after its last failure, in lifetimes of a
	// score.
	classFailureLifetimes = 2
	// classScoreGain is the weight of one result in the score.
	classScoreGain = 0.6
	// minClassFactor keeps some requests of a class at each endpoint, so that its recovery is noticed.
	minClassFactor = 0.03
	// failingClassScore is the mean score below which requests move from warm endpoints to those warming up.
	failingClassScore = 0.8
)

// classScore is the success rate of one class at one endpoint: a decaying mean of 1 (served) and 0
// (failed). It is needed because some endpoints fail one class and serve the others, whose successes keep
// the health multiplier at 1.
type classScore struct {
	value         float64
	updatedAt     Milliseconds
	rotationValue float64 // running value for the class, used while the class fails
}

// newClassScores returns the scores of an endpoint without history, one more than there are classes.
func newClassScores(classCount int) []classScore {
	scores := make([]classScore, classCount+1)
	for i := range scores {
		scores[i].updatedAt = longAgo
	}
	return scores
}

// weight returns the weight that a score still has.
func (s *classScore) weight(now Milliseconds) float64 {
	return decay(now-s.updatedAt, classScoreLifetime)
}

// expected returns the score, which regresses to the mean of all endpoints as its weight falls.
func (s *classScore) expected(now Milliseconds, meanScore float64) float64 {
	return meanScore + (s.value-meanScore)*s.weight(now)
}

// record adds a result, 1 (served) or 0 (failed).
func (s *classScore) record(now Milliseconds, result, meanScore float64) {
	expected := s.expected(now, meanScore)
	s.value = expected + classScoreGain*(result-expected)
	s.updatedAt = now
}

// scoreFor returns the endpoint's score for the class of a request.
func (ep *endpoint) scoreFor(req *request) *classScore {
	if req.stats.index < 0 {
		return &ep.classScores[len(ep.classScores)-1]
	}
	return &ep.classScores[req.stats.index]
}

// classFactor returns the factor of an endpoint's weight that follows from its score for the request's
// class, while the class fails anywhere. An endpoint without recent results counts as the mean of the
// others, so that a sidecar with few requests prefers endpoints known to serve the class. The factor also
// covers errors that are returned fast. Where one sidecar causes most of the load, it may overload the few
// good endpoints.
func (b *Balancer) classFactor(req *request, ep *endpoint) float64 {
	if !b.classFailing(req) {
		return 1
	}
	score := ep.scoreFor(req).expected(b.now, req.stats.meanScore)
	return max(score*score, minClassFactor)
}

// classFailing reports whether an endpoint has failed the request's class recently.
func (b *Balancer) classFailing(req *request) bool {
	return b.now <= req.stats.lastFailureAt+classFailureLifetimes*classScoreLifetime
}

// updateMeanScore computes the mean score of a failing class over all endpoints.
func (b *Balancer) updateMeanScore(req *request) {
	sum, weight := 1.0, 1.0
	if b.classFailing(req) {
		for _, ep := range b.endpoints.list {
			score := ep.scoreFor(req)
			scoreWeight := score.weight(b.now)
			sum += scoreWeight * score.value
			weight += scoreWeight
		}
	}
	req.stats.meanScore = sum / weight
}

// recordClassResult updates an endpoint's score for the request's class by the result of an attempt.
func (b *Balancer) recordClassResult(req *request, ep *endpoint, result Result) {
	served := 1.0
	switch result {
	case OK:
	case ServerError, TimedOut:
		served = 0
		b.startClassRotation(req)
		req.stats.lastFailureAt = b.now
	default:
		return
	}
	ep.scoreFor(req).record(b.now, served, req.stats.meanScore)
}

// startClassRotation gives a class that starts to fail its own running values, a copy of the common ones.
func (b *Balancer) startClassRotation(req *request) {
	if b.classFailing(req) {
		return
	}
	for _, ep := range b.endpoints.list {
		ep.scoreFor(req).rotationValue = ep.rotation.value
	}
}
