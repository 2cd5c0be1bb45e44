package balance

import "math"

const (
	// capacityRegression pulls learned capacities towards 1, by this part of the gain: errors in one
	// direction would otherwise add up.
	capacityRegression = 0.1
	// maxCapacityLog bounds the logarithm of each capacity factor.
	maxCapacityLog = 2.5
	// errorLatencyRatio is the latency, relative to the class's mean, that an error counts as.
	errorLatencyRatio = 3
	// minCapacityStep bounds the step that a single slow response causes.
	minCapacityStep = -2
	// capacityDriftGain is the gain of the mean step, relative to the gain of a step.
	capacityDriftGain = 0.5
	// ownCapacityGain is the gain of the factors of an endpoint and of its zone, relative to that of its
	// machine type.
	ownCapacityGain = 0.5
)

// capacityFactor is a learned factor of an endpoint's capacity. The factor is cached, as each pick reads it.
type capacityFactor struct{ logarithm, factor float64 }

// newCapacityFactor returns the factor 1.
func newCapacityFactor() capacityFactor { return capacityFactor{factor: 1} }

// adjust moves the logarithm of the factor by a step, and towards 0.
func (f *capacityFactor) adjust(step, gain float64) {
	f.set(clamp(f.logarithm*(1-capacityRegression*gain)+step, -maxCapacityLog, maxCapacityLog))
}

func (f *capacityFactor) set(logarithm float64) {
	f.logarithm = logarithm
	f.factor = math.Exp(logarithm)
}

// capacityLearner turns latencies into steps of capacity factors. What all endpoints have in common is
// load, not capacity: the mean step is subtracted.
type capacityLearner struct {
	updates float64 // number of steps; handed over, but no decision uses it
	drift   float64 // mean step
}

// step returns the step of the capacity factors for a latency, relative to the mean of its class. gain is
// its weight.
func (l *capacityLearner) step(latencyRatio, gain float64) float64 {
	step := max(minCapacityStep, 1-latencyRatio)
	l.updates++
	l.drift += gain * (step - l.drift) * capacityDriftGain
	return gain * (step - l.drift)
}

// learnCapacity adjusts the capacity factors of an endpoint, its machine type and its zone, so that
// responses take equally long everywhere. latencyRatio is relative to the mean of the class. An endpoint
// that warms up is slow for another reason, and teaches nothing.
func (b *Balancer) learnCapacity(ep *endpoint, latencyRatio float64) {
	if b.warmingUp(ep) {
		return
	}
	b.advanceResponseRate()
	gain := b.averagingGain()
	step := b.capacity.step(latencyRatio, gain)
	ep.ownCapacity.adjust(step*ownCapacityGain, gain)
	ep.machineType.adjust(step, gain)
	ep.zone.capacity.adjust(step*ownCapacityGain, gain)
}
