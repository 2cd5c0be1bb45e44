package balance

import (
	"cmp"
	"slices"
)

// endpoint is the state that this sidecar keeps for one endpoint.
type endpoint struct {
	Endpoint

	// Smooth weighted round robin.
	rotationValue    float64 // running value, in turns
	inRotation       bool    // rotationValue has its random start
	enteredWarmingUp bool    // ... which it got during the warm-up
	capacity         float64 // effective capacity, in the unit of the weights
	weight           float64 // weight in the current pick; 0: not a candidate
	loadKnown        bool    // in the current pick, the load is known as well as possible
	stickyRank       float64 // in the current pick, the rank for the sticky key; the highest are sticky

	// Learned capacity, and the load that this sidecar causes.
	learned      learnedFactor  // capacity factor of the endpoint alone
	machineType  *learnedFactor // capacity factor of its machine type
	zone         *zone
	inFlight     int     // attempts of this sidecar in flight
	inFlightLoad float64 // sum over these attempts of 1 / latency objective

	// Errors and ejection.
	newestAnsweredSentAt Milliseconds // when the newest of the answered attempts was sent
	lastSendAt           Milliseconds // when the last attempt was sent; +Inf: no connection is open
	consecutiveErrors    int
	lastErrorAt          Milliseconds
	ejectedUntil         Milliseconds // 0: not ejected
	ejections            int          // consecutive ejections
	unreachable          bool         // the last health check got no answer
	connectErrors        int          // consecutive attempts that could not connect
	slowUntil            Milliseconds // avoid the endpoint for sticky keys until then: it was slow
	classScores          []classScore // by class; the last is for classes that are no longer configured

	// Slow start.
	warmUpSince     Milliseconds // start of the warm-up
	slowStartTokens float64      // attempts that the slow start allows
	tokensUpdatedAt Milliseconds
	fullTokenAt     Milliseconds // when slowStartTokens reached a whole attempt

	// Health checks and load reports.
	checkPending     bool
	lastCheckAt      Milliseconds // when the last health check was sent
	lastResponseAt   Milliseconds // when the last answer or load report arrived
	reportedInFlight float64      // requests in flight according to the last load report
	reportedAt       Milliseconds
	sentSinceReport  float64 // attempts of this sidecar since then
}

// newEndpoint returns an endpoint without history.
func newEndpoint(classCount int) *endpoint {
	ep := &endpoint{
		learned:     learnedFactor{factor: 1},
		warmUpSince: longAgo,
		lastSendAt:  never,
		classScores: make([]classScore, classCount+1),
	}
	for i := range ep.classScores {
		ep.classScores[i].updatedAt = longAgo
	}
	return ep
}

// scoreFor returns the endpoint's score for the class of a request.
func (ep *endpoint) scoreFor(req *request) *classScore {
	if req.stats.index < 0 {
		return &ep.classScores[len(ep.classScores)-1]
	}
	return &ep.classScores[req.stats.index]
}

// ratingOrDefault returns the rating, or 1 if it is unknown.
func (ep *endpoint) ratingOrDefault() float64 {
	if ep.Rating > 0 {
		return ep.Rating
	}
	return 1
}

// clearErrors forgets the errors and ejections.
func (ep *endpoint) clearErrors() {
	ep.consecutiveErrors = 0
	ep.ejections = 0
	ep.ejectedUntil = 0
	ep.connectErrors = 0
	ep.unreachable = false
}

// zone is the state that this sidecar keeps for all endpoints of a zone together.
type zone struct {
	learnedFactor
	number          int
	lastResponseAt  Milliseconds // when any endpoint of the zone answered last
	silentEndpoints []*endpoint  // endpoints that did not answer what was sent since
	outage          bool         // the zone is considered unreachable as a whole
	outageSince     Milliseconds
	recoveryChecks  int          // health checks since then
	nextCheckAt     Milliseconds // when the next one is due
}

// classScore is the success rate of one class at one endpoint: a decaying mean of 1 (served) and 0 (failed).
type classScore struct {
	value         float64
	updatedAt     Milliseconds
	rotationValue float64 // running value for the class, used while the class fails
}

// machineTypeFactor returns the capacity factor of a machine type. It adds the type if it is new.
func (b *Balancer) machineTypeFactor(number int) *learnedFactor {
	if b.machineTypes[number] == nil {
		b.machineTypes[number] = &learnedFactor{factor: 1}
	}
	return b.machineTypes[number]
}

// zoneFor returns a zone. It adds the zone if it is new.
func (b *Balancer) zoneFor(number int) *zone {
	if b.zones[number] == nil {
		b.zones[number] = &zone{learnedFactor: learnedFactor{factor: 1}, number: number}
	}
	return b.zones[number]
}

// endpointFor returns the endpoint of a list entry. It adds the endpoint if it is new.
func (b *Balancer) endpointFor(entry *Endpoint) *endpoint {
	ep := b.endpointsByID[entry.ID]
	if ep == nil {
		ep = newEndpoint(len(b.cfg.Classes))
		b.endpointsByID[entry.ID] = ep
		b.endpoints = append(b.endpoints, ep)
	}
	return ep
}

// markUnlistedGone marks the endpoints that a full endpoint list does not contain as gone.
func (b *Balancer) markUnlistedGone(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, ep := range b.endpoints {
		if !listed[ep.ID] {
			ep.State = Gone
		}
	}
}

// removeGone removes the endpoints that are gone and sorts the others by ID.
func (b *Balancer) removeGone() {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(ep *endpoint) bool {
		if ep.State == Gone {
			delete(b.endpointsByID, ep.ID)
		}
		return ep.State == Gone
	})
	slices.SortFunc(b.endpoints, func(left, right *endpoint) int { return cmp.Compare(left.ID, right.ID) })
}
