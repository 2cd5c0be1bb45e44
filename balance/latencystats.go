package balance

const (
	// initialLatencyRatio is the assumed ratio of latency to objective until responses show the real one.
	initialLatencyRatio = 0.33
	// maxLatencyRatio limits ratios of latency to objective.
	maxLatencyRatio = 2
	// queueingAllowance is the part of the latency objective, beyond the quickest responses, that queueing
	// may take. Above it, load is shed.
	queueingAllowance = 0.25
	// averagingSamples is the number of responses or reports over which means are taken.
	averagingSamples = 50
	// averagingTime is the time constant of means over responses, however many responses there are.
	averagingTime Milliseconds = 1000
	// minAveragingGain and maxAveragingGain limit the weight of one response, as single latencies scatter.
	minAveragingGain = 0.01
	maxAveragingGain = 0.2
)

// latencyStats holds the latencies of the responses of all classes, relative to their latency objectives.
type latencyStats struct {
	ratio          float64      // recent mean of latency / objective
	ratioSamples   float64      // samples of this mean, up to averagingSamples
	minRatio       float64      // least value of ratio: the latency without queueing
	lateFraction   float64      // recent fraction of attempts that ended after their latency objective
	lastResponseAt Milliseconds // when the last response arrived
}

// newLatencyStats returns statistics without samples.
func newLatencyStats() latencyStats {
	return latencyStats{ratio: initialLatencyRatio, minRatio: initialLatencyRatio}
}

// recordResponse adds a response. gain is its weight in the means.
func (s *latencyStats) recordResponse(now, latency, objective Milliseconds, gain float64) {
	s.lastResponseAt = now
	s.recordLateness(latency > objective, gain)
	s.ratioSamples = min(s.ratioSamples+1, averagingSamples)
	s.ratio += (min(ratio(latency, objective), maxLatencyRatio) - s.ratio) * gain
	if s.ratioSamples == averagingSamples {
		s.minRatio = min(s.minRatio, s.ratio)
	}
}

// recordRejection adds an attempt that its endpoint rejected. That means overload: it counts as the slowest
// response.
func (s *latencyStats) recordRejection(gain float64) {
	s.ratio += (maxLatencyRatio - s.ratio) * gain
}

// recordLateness adds the end of an attempt to the fraction of late ones.
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

// recency returns the weight, at most 1, that the statistics still have. Those of an overload lose it when
// no responses arrive: otherwise a sidecar that sheds all of its load would never notice the end of the
// overload.
func (s *latencyStats) recency(now, longestObjective Milliseconds) float64 {
	lifetime := max(responseRateObjectives*longestObjective, errorHalfLife)
	return decay(now-s.lastResponseAt, lifetime)
}

// recentRatio returns the mean ratio of latency to objective, which regresses to the least one as its
// weight falls.
func (s *latencyStats) recentRatio(recency float64) float64 {
	return s.minRatio + (s.ratio-s.minRatio)*recency
}

// averagingGain returns the weight of a response in a mean that covers averagingTime, but at least a few
// responses. advanceResponseRate comes before it.
func (b *Balancer) averagingGain() float64 {
	rate := b.responsesPerMillisecond(1)
	return clamp(1/(float64(averagingTime)*rate), minAveragingGain, maxAveragingGain)
}

// recordLateness adds the end of an attempt to the fraction of late ones.
func (b *Balancer) recordLateness(late bool) {
	b.advanceResponseRate()
	b.latency.recordLateness(late, b.averagingGain())
}
