package balance

import (
	"math"
	"slices"
)

const (
	// stickyEndpoints is the number of endpoints for a sticky key.
	stickyEndpoints = 4
	// maxKeyFraction is the largest part that one key may have of an endpoint's requests. A hotter key gets
	// more endpoints.
	maxKeyFraction = 0.25
	// slowStickyFactor ranks slow endpoints after all others.
	slowStickyFactor = 1e-6
	// largeFleetSize is the number of endpoints from which on keys are sticky.
	largeFleetSize = 20
)

// stickyState is what an endpoint's place among the sticky endpoints of a key depends on.
type stickyState struct {
	rank      float64      // in the current pick, the rank for the key; the highest are sticky
	slowUntil Milliseconds // the endpoint was slow, and is avoided for sticky keys until then
}

// recordLatency makes the endpoint count as slow until a moment, or not.
func (s *stickyState) recordLatency(slow bool, until Milliseconds) {
	s.slowUntil = 0
	if slow {
		s.slowUntil = until
	}
}

// restrictToStickyEndpoints leaves only the sticky endpoints of its key as candidates for a first attempt,
// where endpoints do less work for a key that they served recently. In a rotation over a large fleet, each
// endpoint would forget the key before it comes again. By rendezvous hashing, all sidecars choose the same
// endpoints, and the loss of an endpoint moves only its own keys; so does, for a while, a slow response. A
// hot key would overload its few endpoints. It gets more of them, in an order that is the same at all
// sidecars.
func (b *Balancer) restrictToStickyEndpoints(req *request) {
	if !b.cfg.KeyCaching || req.StickyKey == 0 || len(b.endpoints.list) < largeFleetSize {
		return
	}
	ranks := b.rankStickyEndpoints(req.StickyKey)
	count := b.stickyEndpointCount(req.StickyKey)
	if count >= len(ranks) {
		return
	}
	slices.Sort(ranks)
	lowestRank := ranks[len(ranks)-count]
	for _, ep := range b.endpoints.list {
		if ep.sticky.rank < lowestRank {
			ep.candidate.weight = 0
		}
	}
}

// rankStickyEndpoints sets the rank of each endpoint for a key, and returns the ranks of the candidates.
func (b *Balancer) rankStickyEndpoints(key uint64) []float64 {
	ranks := make([]float64, 0, len(b.endpoints.list))
	for _, ep := range b.endpoints.list {
		ep.sticky.rank = 0
		if ep.candidate.weight == 0 || !b.slowStartAllows(ep, anyToken) {
			continue
		}
		ep.sticky.rank = rendezvousScore(key, ep.ID, ep.ratingOrDefault())
		if b.now < ep.sticky.slowUntil {
			ep.sticky.rank *= slowStickyFactor
		}
		ranks = append(ranks, ep.sticky.rank)
	}
	return ranks
}

// stickyEndpointCount returns the number of endpoints for a key.
func (b *Balancer) stickyEndpointCount(key uint64) int {
	needed := math.Ceil(b.keys.fraction(key) * float64(len(b.endpoints.list)) / maxKeyFraction)
	return max(stickyEndpoints, int(needed))
}

// rendezvousScore returns the weighted rendezvous hash (highest random weight) of a key and an endpoint. It
// is the same at all sidecars. An endpoint's probability of the highest score is proportional to its
// weight.
func rendezvousScore(key uint64, id EndpointID, weight float64) float64 {
	hash := splitMix((key ^ uint64(id)*splitMixIncrement) + splitMixIncrement)
	uniform := (float64(hash) + 0.5) / (1 << randomBits) // in (0, 1)
	return -weight / math.Log(uniform)
}
