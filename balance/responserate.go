package balance

import "math"

const (
	// longTermTimeConstant and shortTermTimeConstant are the time constants of the response counts.
	longTermTimeConstant  Milliseconds = 5000
	shortTermTimeConstant Milliseconds = 500
	// minObservedFraction is the lower bound of the fraction of the long-term window that has been observed
	// since the start. It keeps the divisor of the mean rate above 0.
	minObservedFraction = 1e-3
	// chanceDeviations is the number of standard deviations by which a count may exceed its mean by chance.
	chanceDeviations = 2
)

// responseRate estimates the rate at which endpoints respond to this sidecar, from two exponentially decaying
// counts. Callers have to call decayTo before they use or change the counts.
type responseRate struct {
	startedAt      Milliseconds // when the balancer started
	countedAt      Milliseconds // time to which the counts have decayed
	longTermCount  float64      // time constant: longTermTimeConstant
	shortTermCount float64      // time constant: shortTermTimeConstant
}

// decayTo decays the counts to the given time.
func (r *responseRate) decayTo(now Milliseconds) {
	elapsed := now - r.countedAt
	if elapsed == 0 {
		return
	}
	r.shortTermCount *= decay(elapsed, shortTermTimeConstant)
	r.longTermCount *= decay(elapsed, longTermTimeConstant)
	r.countedAt = now
}

// recordResponse counts one response.
func (r *responseRate) recordResponse() {
	r.longTermCount++
	r.shortTermCount++
}

// perMillisecond returns the rate of responses per millisecond: the long-term mean, or a lower bound of the
// short-term rate if that is higher. The short-term rate follows traffic that grows quickly; its lower bound
// discounts growth that may be due to chance. priorResponses are added to the long-term count.
func (r *responseRate) perMillisecond(priorResponses float64) float64 {
	observed := -math.Expm1(-ratio(r.countedAt-r.startedAt, longTermTimeConstant))
	observedFraction := max(observed, minObservedFraction)
	meanRate := (r.longTermCount + priorResponses) / float64(longTermTimeConstant) / observedFraction
	shortTermLowerBound := r.shortTermCount - chanceDeviations*math.Sqrt(r.shortTermCount)
	return max(meanRate, shortTermLowerBound/float64(shortTermTimeConstant))
}

// halveCounts halves the counts when a successor takes over, because the two processes then share the load.
func (r *responseRate) halveCounts() {
	r.longTermCount /= 2
	r.shortTermCount /= 2
}

// decayResponseCounts decays the response counts to the current time.
func (b *Balancer) decayResponseCounts() { b.responses.decayTo(b.now) }

// responsesPerMillisecond returns the rate of responses, with priorResponses assumed in addition to the
// counted ones. The caller has to call decayResponseCounts first.
func (b *Balancer) responsesPerMillisecond(priorResponses float64) float64 {
	return b.responses.perMillisecond(priorResponses)
}
