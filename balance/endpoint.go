package balance

// endpoint is the state that this sidecar keeps for one endpoint. Each part is maintained in the file that
// declares its type.
type endpoint struct {
	Endpoint // from the last endpoint list

	rotation  rotationEntry
	candidate candidateState
	sticky    stickyState

	ownCapacity capacityFactor  // of this endpoint only
	machineType *capacityFactor // shared by all endpoints of its machine type
	zone        *zone           // shared by all endpoints of its zone

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
		slowStart:   slowStart{startedAt: longAgo},
		activity:    endpointActivity{lastSentAt: never},
		classScores: newClassScores(classCount),
	}
}

// ratingOrDefault returns the rating of the endpoint, or 1 if discovery gives none.
func (ep *endpoint) ratingOrDefault() float64 {
	if ep.Rating > 0 {
		return ep.Rating
	}
	return 1
}

// endpointActivity holds the times of the last exchanges between this sidecar and an endpoint.
type endpointActivity struct {
	lastSentAt          Milliseconds // when the last attempt was sent; never: no attempt was sent
	lastResponseAt      Milliseconds // when the endpoint last responded to an attempt or health check
	latestSuccessSentAt Milliseconds // latest send time of all attempts with a successful response
}

// recordSuccess records a successful response to an attempt that was sent at sentAt.
func (a *endpointActivity) recordSuccess(sentAt Milliseconds) {
	a.latestSuccessSentAt = max(a.latestSuccessSentAt, sentAt)
}

// mayBeConnected reports whether a connection to the endpoint is probably open, because the last attempt was
// sent within the idle timeout of connections.
func (a *endpointActivity) mayBeConnected(now, connIdleTimeout Milliseconds) bool {
	return a.lastSentAt <= now && now < a.lastSentAt+connIdleTimeout
}
