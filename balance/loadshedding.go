package balance

const (
	// immediateShedGain determines how fast load shedding reacts: the current shed fraction differs from the
	// steady fraction by this much per unit of excess ratio. The excess ratio is the expected ratio of
	// latency to time limit minus the shed threshold.
	immediateShedGain = 4
	// maxMultipleOfSteadyFraction limits the shed fraction to this multiple of the steady fraction, so that a
	// single random deviation does not shed load.
	maxMultipleOfSteadyFraction = 2
	// minSteadyShedGain is the least change of the steady fraction at one request, per unit of excess ratio.
	minSteadyShedGain = 0.04
	// steadyShedTimeConstant is the time constant of the steady fraction while requests are rare.
	steadyShedTimeConstant Milliseconds = 2000
	// maxSteadyShedGain is the greatest change of the steady fraction at one request, per unit of excess
	// ratio.
	maxSteadyShedGain = 0.5
	// maxShedFraction limits the shed fraction. It is less than 1, because the end of an overload cannot be
	// detected without responses.
	maxShedFraction = 0.95
	// shedPriorResponses is the number of responses that load shedding assumes in addition to recent ones, so
	// that a sidecar with few requests does not shed load because of random variation.
	shedPriorResponses = 15
	// overdueLoadGain determines how much of the load of overdue attempts is counted: the counted fraction
	// grows by this much per unit of slowdown, up to 1. The slowdown is the recent latency ratio minus the
	// shed threshold, divided by the threshold.
	overdueLoadGain = 4
)

// loadShedder computes the fraction of the load that is shed: a steady fraction that follows the overload
// slowly, adjusted at once by the current overload, up to a multiple of the steady fraction.
type loadShedder struct {
	steadyFraction float64      // steady fraction of the load to shed
	lastRequestAt  Milliseconds // when the last request arrived
}

// updateSteadyFraction adjusts the steady fraction to the excess ratio when a request arrives.
func (s *loadShedder) updateSteadyFraction(now Milliseconds, excessRatio float64) {
	gain := clamp(ratio(now-s.lastRequestAt, steadyShedTimeConstant), minSteadyShedGain, maxSteadyShedGain)
	s.lastRequestAt = now
	s.steadyFraction = clamp(s.steadyFraction+gain*excessRatio, 0, maxShedFraction)
}

// shedFraction returns the fraction of the load to shed at the moment.
func (s *loadShedder) shedFraction(excessRatio float64) float64 {
	limit := min(maxShedFraction, maxMultipleOfSteadyFraction*s.steadyFraction)
	return clamp(s.steadyFraction+immediateShedGain*excessRatio, 0, limit)
}

// admit reports whether a request is admitted. It sheds the load that the fleet cannot serve before clients
// give up, before any attempt is sent.
func (b *Balancer) admit(req *request) bool {
	excessRatio := b.excessRatio()
	b.shedder.updateSteadyFraction(b.now, excessRatio)
	shedFraction := b.shedder.shedFraction(excessRatio)
	return shedFraction == 0 || b.random.next() >= b.shedProbability(req, shedFraction)
}

// excessRatio estimates the current overload of the fleet: the expected ratio of latency to time limit minus
// the shed threshold. It is negative without an overload.
func (b *Balancer) excessRatio() float64 {
	b.decayResponseCounts()
	recency := b.latency.recency(b.now)
	expected := min(b.expectedLatencyRatio(recency), maxLatencyRatio)
	return expected - b.latency.shedThreshold()
}

// expectedLatencyRatio estimates the ratio of latency to time limit from the attempts in flight and the
// response rate (Little's law). The prior responses are assumed to have the recent latency ratio. They
// dominate the estimate of a sidecar with little traffic, whose one or two attempts in flight say little
// about the load.
func (b *Balancer) expectedLatencyRatio(recency float64) float64 {
	recentRatio := b.latency.recentRatio(recency)
	// While other responses are fast, overdue attempts are not counted as load, because they may be lost.
	slowdown := recentRatio/b.latency.shedThreshold() - 1
	overdueLoad := b.load.overdueRate * clamp(overdueLoadGain*slowdown, 0, 1)
	priorLoad := recentRatio * shedPriorResponses / float64(longTermTimeConstant)
	return (b.totalRequiredRate() + overdueLoad + priorLoad) / b.responsesPerMillisecond(shedPriorResponses)
}
