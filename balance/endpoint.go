package balance

// endpoint is the state that this sidecar keeps for one endpoint. Each part belongs to the file of its type.
type endpoint struct {
	Endpoint // as last listed

	rotation  rotationEntry
	candidate candidateState
	sticky    stickyState

	ownCapacity capacityFactor  // of the endpoint alone
	machineType *capacityFactor // shared by the endpoints of its machine type
	zone        *zone           // shared by the endpoints of its zone

	load        endpointLoad
	activity    endpointActivity
	outlier     outlierState
	slowStart   slowStart
	healthCheck healthCheckState
	classScores []classScore // by class; the last is for classes that are no longer configured
}

// newEndpoint returns an endpoint without history.
func newEndpoint(classCount int) *endpoint {
	return &endpoint{
		ownCapacity: newCapacityFactor(),
		slowStart:   slowStart{warmUpSince: longAgo},
		activity:    endpointActivity{lastSendAt: never},
		classScores: newClassScores(classCount),
	}
}

// ratingOrDefault returns the rating, or 1 if it is unknown.
func (ep *endpoint) ratingOrDefault() float64 {
	if ep.Rating > 0 {
		return ep.Rating
	}
	return 1
}

// endpointActivity holds when this sidecar and an endpoint last exchanged something.
type endpointActivity struct {
	lastSendAt            Milliseconds // when the last attempt was sent; never: no connection is open
	lastResponseAt        Milliseconds // when the last response or load report arrived
	newestRespondedSentAt Milliseconds // when the newest of the attempts with a response was sent
}

// recordResponseTo records a successful response to an attempt that was sent at sentAt.
func (a *endpointActivity) recordResponseTo(sentAt Milliseconds) {
	a.newestRespondedSentAt = max(a.newestRespondedSentAt, sentAt)
}

// mayBeConnected reports whether a connection to the endpoint is probably open.
func (a *endpointActivity) mayBeConnected(now, connIdleTimeout Milliseconds) bool {
	return a.lastSendAt <= now && now < a.lastSendAt+connIdleTimeout
}
