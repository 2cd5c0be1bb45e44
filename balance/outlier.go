package balance

const (
	// errorHalfLife is the time after which errors lose half of their weight. Failures typically last
	// seconds, not minutes.
	errorHalfLife Milliseconds = 5000
	// healthPenaltyPerError is subtracted from the health multiplier for each consecutive error.
	healthPenaltyPerError = 0.2
	// minHealth is the lower bound of the health multiplier. It keeps a few requests at a failing endpoint,
	// so that its recovery is detected.
	minHealth = 0.25
	// errorsToEject is the number of consecutive errors at which an endpoint is ejected.
	errorsToEject = 3
	// connectErrorsToEject is the number of failed connections, without a success in between, at which an
	// endpoint is ejected because it has probably stopped. A single failed connection may be a coincidence.
	connectErrorsToEject = 2
	// connectErrorRestartTime is how long ago the last error must be for a single failed connection to count
	// as a sign of a restart, when the endpoint responds again.
	connectErrorRestartTime Milliseconds = 1000
	// firstEjectionDuration is the duration of the first of consecutive ejections.
	firstEjectionDuration Milliseconds = 1000
	// maxEjectionDoublings limits how often the duration of consecutive ejections doubles.
	maxEjectionDoublings = 3
)

// errorKind distinguishes the errors of an attempt.
type errorKind bool

const (
	attemptError errorKind = false // the attempt failed on an open connection
	connectError errorKind = true  // no connection was opened (ConnectFailed)
)

// outlierState holds the consecutive errors and ejections of an endpoint (outlier detection).
//
//   - An endpoint is ejected at its third consecutive error, its second failed connection, or a failed health
//     check. Errors of concurrent attempts are counted individually, and each error beyond the threshold
//     ejects the endpoint again, for longer.
//   - An ejection ends at ejectedUntil. The errors still lower the health multiplier after that. A success, a
//     restart, or a successful health check after a failed one clears the errors and ends the ejection
//     immediately.
//   - If all endpoints are ejected, attempts are sent to them nevertheless (includeEjected).
type outlierState struct {
	consecutiveErrors    int
	connectErrors        int // the consecutive errors that were failed connections
	lastErrorAt          Milliseconds
	consecutiveEjections int
	ejectedUntil         Milliseconds // end of the last ejection; 0: not ejected since clearErrors
	healthCheckFailed    bool         // the last health check failed; a later successful one clears errors
}

// clearErrors resets the errors and ejections, but keeps the time of the last error.
func (s *outlierState) clearErrors() {
	s.consecutiveErrors = 0
	s.connectErrors = 0
	s.consecutiveEjections = 0
	s.ejectedUntil = 0
	s.healthCheckFailed = false
}

// record counts an error of the given kind.
func (s *outlierState) record(now Milliseconds, kind errorKind) {
	s.consecutiveErrors++
	s.lastErrorAt = now
	if kind == connectError {
		s.connectErrors++
	}
}

// shouldEject reports whether the endpoint is to be ejected. lastKind is the kind of the error recorded last.
func (s *outlierState) shouldEject(lastKind errorKind) bool {
	stopped := lastKind == connectError && s.connectErrors >= connectErrorsToEject
	return stopped || s.consecutiveErrors >= errorsToEject
}

// eject ejects the endpoint for firstEjectionDuration, doubled once for each consecutive ejection before, at
// most maxEjectionDoublings times.
func (s *outlierState) eject(now Milliseconds) {
	duration := firstEjectionDuration.scaled(backoffFactor(s.consecutiveEjections, maxEjectionDoublings))
	s.ejectedUntil = now + duration
	s.consecutiveEjections++
}

// recordFailedHealthCheck ejects the endpoint after a failed health check.
func (s *outlierState) recordFailedHealthCheck(now Milliseconds) {
	s.eject(now)
	s.healthCheckFailed = true
}

// ejectedSinceLastSuccess reports whether the endpoint was ejected and its errors have not been cleared
// since, even if the ejection is over.
func (s *outlierState) ejectedSinceLastSuccess() bool { return s.ejectedUntil != 0 }

// ejected reports whether the endpoint is ejected at the given time.
func (s *outlierState) ejected(now Milliseconds) bool { return now < s.ejectedUntil }

// health returns the health multiplier of the endpoint's capacity, from minHealth to 1. The weight of the
// errors decays with the time since the last one.
func (s *outlierState) health(now Milliseconds) float64 {
	if s.consecutiveErrors == 0 {
		return 1
	}
	effectiveErrors := float64(s.consecutiveErrors) * halfLifeDecay(now-s.lastErrorAt, errorHalfLife)
	return clamp(1-healthPenaltyPerError*effectiveErrors, minHealth, 1)
}

// likelyRestarted reports whether an endpoint that responds again has probably restarted, judging by its
// failed connections. Discovery may not have reported the restart yet.
func (s *outlierState) likelyRestarted(now Milliseconds) bool {
	if s.connectErrors >= connectErrorsToEject {
		return true
	}
	return s.connectErrors > 0 && now > s.lastErrorAt+connectErrorRestartTime
}

// recordError counts an error of an endpoint, and ejects the endpoint if it has too many consecutive errors.
// The error also counts as a slow response for the learned capacity.
func (b *Balancer) recordError(ep *endpoint, kind errorKind) {
	ep.outlier.record(b.now, kind)
	b.learnCapacity(ep, errorLatencyRatio)
	if ep.outlier.shouldEject(kind) {
		ep.outlier.eject(b.now)
	}
}

// ejected reports whether an endpoint is ejected, either individually or because its zone is in an outage.
func (b *Balancer) ejected(ep *endpoint) bool { return ep.outlier.ejected(b.now) || ep.zone.inOutage }
