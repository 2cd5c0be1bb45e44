package balance

const (
	// errorHalfLife is the time in which errors lose half of their weight: failures last seconds, not
	// minutes.
	errorHalfLife Milliseconds = 5000
	// errorPenalty is what each consecutive error takes off the health multiplier.
	errorPenalty = 0.2
	// minHealth is the least health multiplier: a recovered endpoint needs some requests to be noticed.
	minHealth = 0.25
	// errorsToEject is the number of consecutive errors at which an endpoint is ejected.
	errorsToEject = 3
	// connectErrorsToEject is the number of consecutive attempts that could not connect at which an endpoint
	// counts as stopped. A single one may be chance.
	connectErrorsToEject = 2
	// restartSilence is the time since the last error after which a single failed connection, too, shows that
	// an endpoint was stopped.
	restartSilence Milliseconds = 1000
	// maxEjectionDoublings limits the growth of consecutive ejections.
	maxEjectionDoublings = 3
)

// errorKind distinguishes the errors of an attempt.
type errorKind bool

const (
	attemptError errorKind = false // a connection was open
	connectError errorKind = true  // Result ConnectFailed
)

// outlierState counts the consecutive errors of an endpoint and its ejections (outlier detection).
//
//   - An ejection begins with the third consecutive error, the second failed connection, or a failed health
//     check. Errors of attempts that were in flight at once count one by one, and each further one ejects
//     again, for longer.
//   - It ends at ejectedUntil; the endpoint has the health then that its errors leave. It ends at once with a
//     success, a restart, or a successful health check after a failed one, which clear the errors.
//   - Where all endpoints are ejected, attempts go to them all the same (includeEjected).
type outlierState struct {
	consecutiveErrors int
	connectErrors     int // those among them that could not connect
	lastErrorAt       Milliseconds
	ejections         int          // consecutive ejections
	ejectedUntil      Milliseconds // end of the last ejection; 0: none since the last clear
	checkFailed       bool         // the last health check failed; one that succeeds clears all errors
}

// clear forgets the errors and ejections, but for the time of the last error.
func (s *outlierState) clear() {
	s.consecutiveErrors = 0
	s.connectErrors = 0
	s.ejections = 0
	s.ejectedUntil = 0
	s.checkFailed = false
}

// record counts an error.
func (s *outlierState) record(now Milliseconds, kind errorKind) {
	s.consecutiveErrors++
	s.lastErrorAt = now
	if kind == connectError {
		s.connectErrors++
	}
}

// isOutlier reports whether an error of this kind, which was counted last, ejects the endpoint.
func (s *outlierState) isOutlier(kind errorKind) bool {
	stopped := kind == connectError && s.connectErrors >= connectErrorsToEject
	return stopped || s.consecutiveErrors >= errorsToEject
}

// eject takes the endpoint out of the rotation, each consecutive time twice as long as before.
func (s *outlierState) eject(now, firstEjection Milliseconds) {
	s.ejectedUntil = now + firstEjection.scaled(backoffFactor(s.ejections, maxEjectionDoublings))
	s.ejections++
}

// failHealthCheck takes the endpoint out of the rotation after a failed health check.
func (s *outlierState) failHealthCheck(now, firstEjection Milliseconds) {
	s.eject(now, firstEjection)
	s.checkFailed = true
}

// unproven reports whether the endpoint was ejected and has had no success since, even if the ejection is
// over.
func (s *outlierState) unproven() bool { return s.ejectedUntil != 0 }

// ejected reports whether the endpoint is out of the rotation.
func (s *outlierState) ejected(now Milliseconds) bool { return now < s.ejectedUntil }

// health returns the health multiplier of the endpoint's weight, from minHealth to 1.
func (s *outlierState) health(now Milliseconds) float64 {
	if s.consecutiveErrors == 0 {
		return 1
	}
	effectiveErrors := float64(s.consecutiveErrors) * halved(now-s.lastErrorAt, errorHalfLife)
	return clamp(1-errorPenalty*effectiveErrors, minHealth, 1)
}

// wasStopped reports whether an endpoint that responds again was stopped, even if discovery has not
// reported it.
func (s *outlierState) wasStopped(now Milliseconds) bool {
	if s.connectErrors >= connectErrorsToEject {
		return true
	}
	return s.connectErrors > 0 && now > s.lastErrorAt+restartSilence
}

// recordError counts an error of an endpoint, and ejects it after several consecutive ones.
func (b *Balancer) recordError(ep *endpoint, kind errorKind) {
	ep.outlier.record(b.now, kind)
	b.learnCapacity(ep, errorLatencyRatio)
	if ep.outlier.isOutlier(kind) {
		b.eject(ep)
	}
}

// eject takes an endpoint out of the rotation, at first for the longest latency objective.
func (b *Balancer) eject(ep *endpoint) { ep.outlier.eject(b.now, b.longestObjective) }

// ejected reports whether an endpoint is out of the rotation, by itself or with its zone.
func (b *Balancer) ejected(ep *endpoint) bool { return ep.outlier.ejected(b.now) || ep.zone.outage }
