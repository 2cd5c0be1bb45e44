package balance

import (
	"math"
	"slices"
)

const (
	// endpointsPerStickyKey is the number of sticky endpoints of a key that is not hot.
	endpointsPerStickyKey = 4
	// maxKeyFraction is the largest fraction of an endpoint's requests that may be for one key. A hot key
	// gets more sticky endpoints to stay below it.
	maxKeyFraction = 0.25
	// slowStickyScoreFactor multiplies the score of slow endpoints, so that it is lower than that of all
	// others.
	slowStickyScoreFactor = 1e-6
	// minStickyFleetSize is the smallest number of endpoints at which sticky keys have an effect.
	minStickyFleetSize = 20
)

// stickyState holds the values that decide whether an endpoint is a sticky endpoint of a key.
type stickyState struct {
	score     float64      // score for the key of the current pick; the highest scores are sticky
	slowUntil Milliseconds // the endpoint was slow and is avoided for sticky keys until this time
}

// setSlow marks the endpoint as slow until the given time, or as not slow.
func (s *stickyState) setSlow(slow bool, until Milliseconds) {
	s.slowUntil = 0
	if slow {
		s.slowUntil = until
	}
}

// restrictToStickyEndpoints removes all candidates of a first attempt except the sticky endpoints of its key,
// if endpoints do less work for a key that they served recently. In a rotation over all endpoints of a large
// fleet, each endpoint would evict the key before it gets the next request for it.
//
// The sticky endpoints are chosen by rendezvous hashing, so all sidecars choose the same ones, and the loss
// of an endpoint moves only its own keys. A slow response moves the keys of its endpoint, too, for a limited
// time. A hot key would overload a few endpoints, so it gets more of them, in an order that is the same at
// all sidecars.
func (b *Balancer) restrictToStickyEndpoints(req *request) {
	if !b.cfg.KeyCaching || req.StickyKey == 0 || len(b.endpoints.list) < minStickyFleetSize {
		return
	}
	scores := b.scoreStickyEndpoints(req.StickyKey)
	count := b.stickyEndpointCount(req.StickyKey)
	if count >= len(scores) {
		return
	}
	slices.Sort(scores)
	lowestStickyScore := scores[len(scores)-count]
	for _, ep := range b.endpoints.list {
		if ep.sticky.score < lowestStickyScore {
			ep.candidate.weight = 0
		}
	}
}

// scoreStickyEndpoints sets the score of each endpoint for a key and returns the scores of the candidates
// that slow start allows. The other endpoints get a score of 0.
func (b *Balancer) scoreStickyEndpoints(key uint64) []float64 {
	scores := make([]float64, 0, len(b.endpoints.list))
	for _, ep := range b.endpoints.list {
		ep.sticky.score = 0
		if ep.candidate.weight == 0 || !b.slowStartAllows(ep, anySavedToken) {
			continue
		}
		ep.sticky.score = rendezvousScore(key, ep.ID, ep.ratingOrDefault())
		if b.now < ep.sticky.slowUntil {
			ep.sticky.score *= slowStickyScoreFactor
		}
		scores = append(scores, ep.sticky.score)
	}
	return scores
}

// stickyEndpointCount returns the number of sticky endpoints for a key.
func (b *Balancer) stickyEndpointCount(key uint64) int {
	needed := math.Ceil(b.keys.requestFraction(key) * float64(len(b.endpoints.list)) / maxKeyFraction)
	return max(endpointsPerStickyKey, int(needed))
}

// rendezvousScore returns the score of an endpoint for a key by weighted rendezvous hashing (highest random
// weight). The score is the same at all sidecars. The probability that an endpoint has the highest score is
// proportional to its weight.
func rendezvousScore(key uint64, id EndpointID, weight float64) float64 {
	hash := splitMix((key ^ uint64(id)*splitMixIncrement) + splitMixIncrement)
	uniform := (float64(hash) + 0.5) / (1 << randomBits) // in (0, 1)
	return -weight / logarithm(uniform)
}
