package balance

import "math"

const (
	// initialLatencyRatio is the ratio of latency to time limit that is assumed before there are responses.
	initialLatencyRatio = 0.33
	// maxLatencyRatio is the upper bound of the ratio of latency to time limit.
	maxLatencyRatio = 2
	// queueingAllowance is the fraction of the time between the lowest mean latency and the time limit that
	// queueing may always take before load is shed, however much latencies vary.
	queueingAllowance = 0.25
	// inTimeDeviations is the number of mean absolute deviations above the mean latency within which nearly
	// all responses arrive. While that is within the time limit, no load is shed.
	inTimeDeviations = 6
	// initialRatioDeviation is the mean absolute deviation of the ratio that is assumed before there are
	// responses.
	initialRatioDeviation = initialLatencyRatio / 2
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
)

// latencyStats holds statistics of the latencies of all classes, relative to their time limits: how long
// most clients of the class wait.
type latencyStats struct {
	meanRatio      float64      // recent mean of latency / time limit
	ratioDeviation float64      // recent mean absolute deviation; see recordDeviation
	ratioSamples   float64      // samples of meanRatio, up to averagingSamples
	minRatio       float64      // lowest value of meanRatio: the latency without queueing
	lastResponseAt Milliseconds // when the last response arrived
	lastSampleAt   Milliseconds // when the last response or timeout was counted
	silentEndpoint *endpoint    // where the last attempt timed out without a response; nil: one arrived
}

// newLatencyStats returns statistics without samples, which assume initialLatencyRatio.
func newLatencyStats() latencyStats {
	return latencyStats{
		meanRatio: initialLatencyRatio, minRatio: initialLatencyRatio, ratioDeviation: initialRatioDeviation,
	}
}

// recordResponse adds the latency of a response relative to the time limit. gain is its weight in the mean.
func (s *latencyStats) recordResponse(now Milliseconds, latencyRatio, gain float64) {
	s.lastResponseAt = now
	s.lastSampleAt = now
	s.silentEndpoint = nil
	s.ratioSamples = min(s.ratioSamples+1, averagingSamples)
	s.meanRatio += (min(latencyRatio, maxLatencyRatio) - s.meanRatio) * gain
	if s.ratioSamples == averagingSamples {
		s.minRatio = min(s.minRatio, s.meanRatio)
	}
}

// recordDeviation adds the difference between a response's latency and the mean latency of its class,
// relative to the time limit. Classes with other latencies are not a variation that requests have to allow
// for. gain is the weight of the difference.
func (s *latencyStats) recordDeviation(differenceRatio, gain float64) {
	s.ratioDeviation += (min(math.Abs(differenceRatio), maxLatencyRatio) - s.ratioDeviation) * gain
}

// recordTimeout adds an attempt that timed out after the usual latency. gain is its weight. If no endpoint
// has responded in the meantime and another one has been silent, too, no attempt is answered in time: the
// attempt then counts like a rejection. A single silent endpoint may merely hang.
func (s *latencyStats) recordTimeout(now Milliseconds, attempt *attempt, gain float64) {
	if s.lastResponseAt >= attempt.sentAt {
		return
	}
	if s.silentEndpoint != nil && s.silentEndpoint != attempt.endpoint {
		s.lastSampleAt = now
		s.recordRejection(gain)
	}
	s.silentEndpoint = attempt.endpoint
}

// recordRejection adds an attempt that its endpoint rejected, or would not have answered in time. This
// indicates overload, so it counts like a response with maxLatencyRatio.
func (s *latencyStats) recordRejection(gain float64) {
	s.meanRatio += (maxLatencyRatio - s.meanRatio) * gain
}

// shedThreshold returns the ratio of latency to time limit above which load is shed: the highest mean ratio
// with which nearly all responses arrive before their clients give up, but no less than queueingRatio.
func (s *latencyStats) shedThreshold() float64 {
	inTimeRatio := 1 - inTimeDeviations*s.ratioDeviation
	return max(inTimeRatio, s.queueingRatio())
}

// queueingRatio returns the ratio of latency to time limit with as much queueing as queueingAllowance says.
func (s *latencyStats) queueingRatio() float64 { return s.minRatio + queueingAllowance*(1-s.minRatio) }

// recency returns the weight of the statistics, which decays from 1 to 0 with the time since the last
// sample. Without the decay, a sidecar that sheds all of its load would never detect the end of an
// overload.
func (s *latencyStats) recency(now Milliseconds) float64 {
	return decay(now-s.lastSampleAt, longTermTimeConstant)
}

// recentRatio returns the mean ratio of latency to time limit, which moves to the lowest one as recency, the
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
