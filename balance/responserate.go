package balance

import "math"

const (
	// responseRateObjectives is the time constant of the rate of responses, in longest latency objectives.
	responseRateObjectives = 8
	// minObservedFraction bounds the fraction of the time constant that has been observed, shortly after
	// the start.
	minObservedFraction = 1e-3
	// chanceDeviations is the number of standard deviations by which a count may exceed its mean by chance.
	chanceDeviations = 2
)

// responseRate counts the responses of endpoints to this sidecar. Its counts decay with time. What changes
// them calls advance first; perMillisecond is valid at the time of the last call of advance.
type responseRate struct {
	startedAt   Milliseconds // when the balancer started
	countedAt   Milliseconds // time of the last advance
	count       float64      // decays over responseRateObjectives longest latency objectives
	latestCount float64      // decays over one
}

// advance lets the counts decay to now.
func (r *responseRate) advance(now, longestObjective Milliseconds) {
	elapsed := now - r.countedAt
	if elapsed == 0 {
		return
	}
	r.latestCount *= decay(elapsed, longestObjective)
	r.count *= decay(elapsed, responseRateObjectives*longestObjective)
	r.countedAt = now
}

// record counts one response.
func (r *responseRate) record() {
	r.count++
	r.latestCount++
}

// perMillisecond returns the responses per millisecond, priorResponses included. It is a mean over the long
// time constant. Where the short one alone shows more than chance explains, that counts instead: traffic
// may grow fast.
func (r *responseRate) perMillisecond(longestObjective Milliseconds, priorResponses float64) float64 {
	timeConstant := responseRateObjectives * longestObjective
	observedFraction := max(-math.Expm1(-ratio(r.countedAt-r.startedAt, timeConstant)), minObservedFraction)
	meanRate := (r.count + priorResponses) / float64(timeConstant) / observedFraction
	latestSurely := r.latestCount - chanceDeviations*math.Sqrt(r.latestCount)
	return max(meanRate, latestSurely/float64(longestObjective))
}

// halve gives half of the counts away to a process that takes over, with which this one shares the load
// from now on.
func (r *responseRate) halve() {
	r.count /= 2
	r.latestCount /= 2
}

// advanceResponseRate lets the counts of responses decay to the present.
func (b *Balancer) advanceResponseRate() { b.responses.advance(b.now, b.longestObjective) }

// responsesPerMillisecond returns the rate of responses. advanceResponseRate comes before it.
func (b *Balancer) responsesPerMillisecond(priorResponses float64) float64 {
	return b.responses.perMillisecond(b.longestObjective, priorResponses)
}
