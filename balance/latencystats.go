package balance

const (
	// initialLatencyRatio is the ratio of latency to objective that is assumed before there are responses.
	initialLatencyRatio = 0.33
	// maxLatencyRatio is the upper bound of the ratio of latency to objective.
	maxLatencyRatio = 2
	// queueingAllowance is the fraction of the time between the lowest mean latency and the latency objective
	// that queueing may take before load is shed.
	queueingAllowance = 0.25
	// averagingSamples is the number of responses or load reports over which means are taken.
	averagingSamples = 50
	// averagingTimeConstant is the time constant of means over responses. averagingGain derives the weight of
	// a response from it, so that the means follow changes equally fast at any response rate.
	averagingTimeConstant Milliseconds = 1000
	// minAveragingGain and maxAveragingGain limit the weight of one response, because latencies vary widely.
	minAveragingGain = 0.01
	maxAveragingGain = 0.2
	// averagingPriorResponses is assumed in addition to the counted responses, so that averagingGain never
	// has a rate of 0.
	averagingPriorResponses = 1
	// minRecencyTimeConstant is the lower bound of the time constant of recency. It equals the half-life of
	// endpoint errors.
	minRecencyTimeConstant = errorHalfLife
)

// latencyStats holds statistics of the latencies of all classes, relative to their latency objectives.
type latencyStats struct {
	meanRatio      float64      // recent mean of latency / objective
	ratioSamples   float64      // samples of meanRatio, up to averagingSamples
	minRatio       float64      // lowest value of meanRatio: the latency without queueing
	lateFraction   float64      // recent fraction of late attempts; see the methods named recordLateness
	lastResponseAt Milliseconds // when the last response arrived
}

// newLatencyStats returns statistics without samples, which assume initialLatencyRatio.
func newLatencyStats() latencyStats {
	return latencyStats{meanRatio: initialLatencyRatio, minRatio: initialLatencyRatio}
}

// recordResponse adds the latency of a response. gain is its weight in the means.
func (s *latencyStats) recordResponse(now, latency, objective Milliseconds, gain float64) {
	s.lastResponseAt = now
	s.recordLateness(latency > objective, gain)
	s.ratioSamples = min(s.ratioSamples+1, averagingSamples)
	s.meanRatio += (min(ratio(latency, objective), maxLatencyRatio) - s.meanRatio) * gain
	if s.ratioSamples == averagingSamples {
		s.minRatio = min(s.minRatio, s.meanRatio)
	}
}

// recordRejection adds an attempt that its endpoint rejected. A rejection indicates overload, so it counts
// like a response with maxLatencyRatio.
func (s *latencyStats) recordRejection(gain float64) {
	s.meanRatio += (maxLatencyRatio - s.meanRatio) * gain
}

// recordLateness adds an attempt that ended to the fraction of late attempts. An attempt is late if it
// succeeded after its latency objective, timed out, or was rejected. gain is its weight.
func (s *latencyStats) recordLateness(late bool, gain float64) {
	s.lateFraction -= s.lateFraction * gain
	if late {
		s.lateFraction += gain
	}
}

// shedThreshold returns the ratio of latency to objective above which load is shed.
func (s *latencyStats) shedThreshold() float64 {
	return s.minRatio + queueingAllowance*(1-s.minRatio)
}

// recency returns the weight of the statistics, which decays from 1 to 0 with the time since the last
// response. Without the decay, a sidecar that sheds all of its load would never detect the end of an
// overload.
func (s *latencyStats) recency(now, longestObjective Milliseconds) float64 {
	timeConstant := max(responseRateObjectives*longestObjective, minRecencyTimeConstant)
	return decay(now-s.lastResponseAt, timeConstant)
}

// recentRatio returns the mean ratio of latency to objective, which moves to the lowest one as recency, the
// weight of the statistics, decays.
func (s *latencyStats) recentRatio(recency float64) float64 {
	return s.minRatio + (s.meanRatio-s.minRatio)*recency
}

// averagingGain returns the weight of one response in a mean with time constant averagingTimeConstant, within
// minAveragingGain and maxAveragingGain. The caller has to call decayResponseCounts first.
func (b *Balancer) averagingGain() float64 {
	rate := b.responsesPerMillisecond(averagingPriorResponses)
	return clamp(1/(float64(averagingTimeConstant)*rate), minAveragingGain, maxAveragingGain)
}

// recordLateness adds a failed attempt to the fraction of late attempts: as late if it timed out or was
// rejected, and as timely after other failures. recordFailure does not call it for an attempt that timed out
// before it was overdue, and recordOutcome does not for one that was cancelled or not attempted.
func (b *Balancer) recordLateness(late bool) {
	b.decayResponseCounts()
	b.latency.recordLateness(late, b.averagingGain())
}
