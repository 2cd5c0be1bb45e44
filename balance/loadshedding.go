package balance

const (
	// immediateShedGain is the fraction of the load to shed at once, per unit of excess latency ratio.
	immediateShedGain = 4
	// maxSteadyMultiple limits what is shed at once to this multiple of the steady fraction, so that one
	// chance deviation does not shed load.
	maxSteadyMultiple = 2
	// minSteadyShedGain is the change of the steady fraction per unit of excess latency ratio and request.
	minSteadyShedGain = 0.04
	// steadyShedObjectives is the time constant of the steady fraction where requests are rare, in longest
	// latency objectives.
	steadyShedObjectives = 2
	// maxSteadyShedGain limits the change of the steady fraction at one request.
	maxSteadyShedGain = 0.5
	// shedPerLateResponse limits the steady fraction to this multiple of the fraction of late responses:
	// shedding more cannot improve the result.
	shedPerLateResponse = 3
	// maxShedFraction is less than 1: without responses, the end of an overload would not be noticed.
	maxShedFraction = 0.95
	// priorResponses are assumed in addition to recent responses, so that a sidecar with few requests does
	// not shed load by chance.
	priorResponses = 15
	// overdueLoadGain is the part of the overdue attempts that counts as load, per unit by which the recent
	// latency ratio exceeds the threshold, relative to it.
	overdueLoadGain = 4
	// firstAttemptTimeout is the fraction of the longest timeout of a class from which on a request counts
	// as a client's first attempt.
	firstAttemptTimeout = 0.99
)

// loadShedder decides which fraction of the load is shed. It sheds a steady fraction that follows the
// overload slowly, and up to a multiple of it at once.
type loadShedder struct {
	steadyFraction float64      // of the load
	lastRequestAt  Milliseconds // when the last request arrived
}

// overload is the state of the fleet as a new request finds it.
type overload struct {
	excess       float64 // by which the expected latency ratio exceeds the threshold; may be negative
	lateFraction float64 // recent fraction of late responses
	recency      float64 // weight of lateFraction
}

// update moves the steady fraction by the overload that a request finds.
func (s *loadShedder) update(now, longestObjective Milliseconds, load overload) {
	elapsed := float64((now - s.lastRequestAt) / steadyShedObjectives / longestObjective)
	gain := clamp(elapsed, minSteadyShedGain, maxSteadyShedGain)
	s.lastRequestAt = now
	limit := min(maxShedFraction, shedPerLateResponse*load.lateFraction*load.recency)
	s.steadyFraction = clamp(s.steadyFraction+gain*load.excess, 0, limit)
}

// fraction returns the fraction of the load to shed now.
func (s *loadShedder) fraction(load overload) float64 {
	limit := min(maxShedFraction, maxSteadyMultiple*s.steadyFraction)
	return clamp(s.steadyFraction+immediateShedGain*load.excess, 0, limit)
}

// admit decides whether a request is admitted. It sheds the load that the fleet cannot serve within the
// latency objectives, before anything is sent.
func (b *Balancer) admit(req *request) bool {
	load := b.measureOverload()
	b.shedder.update(b.now, b.longestObjective, load)
	if b.isLateRetry(req) && b.shedder.steadyFraction >= req.class.LateWeight {
		return false
	}
	shed := b.shedder.fraction(load)
	return shed == 0 || b.random.next() >= b.shedProbability(req, shed)
}

// measureOverload returns the present overload.
func (b *Balancer) measureOverload() overload {
	b.advanceResponseRate()
	recency := b.latency.recency(b.now, b.longestObjective)
	expected := min(b.expectedLatencyRatio(recency), maxLatencyRatio)
	return overload{
		excess:       expected - b.latency.shedThreshold(),
		lateFraction: b.latency.lateFraction,
		recency:      recency,
	}
}

// expectedLatencyRatio estimates the ratio of latency to objective from the attempts in flight and the rate
// of responses (Little's law). The prior responses count with the recent latency: they are most of what a
// sidecar with little traffic has, and its one or two attempts in flight say little.
func (b *Balancer) expectedLatencyRatio(recency float64) float64 {
	recentRatio := b.latency.recentRatio(recency)
	priorRatio := recentRatio
	if b.cfg.LoadReports == LoadReportsPolled {
		priorRatio = 0 // the load reports of health checks show overload; see overloaded
	}
	// Overdue attempts are no load while responses are quick: they may be lost.
	slowdown := recentRatio/b.latency.shedThreshold() - 1
	overdueLoad := b.load.overdue * clamp(overdueLoadGain*slowdown, 0, 1)
	priorLoad := priorRatio * priorResponses / responseRateObjectives / float64(b.longestObjective)
	return (b.inFlightLoad() + overdueLoad + priorLoad) / b.responsesPerMillisecond(priorResponses)
}

// isLateRetry reports whether a request is a client's retry whose latency objective has passed already: the
// time left is shorter than that of first attempts.
func (b *Balancer) isLateRetry(req *request) bool {
	// An unmarked request with a short timeout is an impatient client's first attempt.
	mayBeRetry := req.ClientRetry || !b.cfg.ClientRetriesMarked
	if !mayBeRetry || req.Remaining >= req.stats.longestTimeout.scaled(firstAttemptTimeout) {
		return false
	}
	return req.Remaining <= req.class.Deadline-req.class.LatencyObjective
}
