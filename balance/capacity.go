package balance

const (
	// capacityRegression is the fraction by which one sample moves a learned factor's logarithm back to 0,
	// relative to the weight of the sample. Without it, errors in one direction would add up.
	capacityRegression = 0.1
	// maxCapacityLog bounds the absolute value of the natural logarithm of each capacity factor.
	maxCapacityLog = 2.5
	// errorLatencyRatio is the latency that an error counts as, relative to the mean latency of its class.
	errorLatencyRatio = 3
	// minCapacityStep limits the negative step of the logarithm that a single slow response causes, before
	// the step is multiplied by the weight of the sample.
	minCapacityStep = -2
	// meanStepGain is the weight of a sample in the mean step, relative to its weight in a capacity factor.
	meanStepGain = 0.5
	// ownCapacityGain is the fraction of a step that is applied to the factors of an endpoint and its zone.
	// The factor of its machine type gets the whole step.
	ownCapacityGain = 0.5
)

// capacityFactor is a learned factor of an endpoint's capacity. It is cached, because each pick reads it.
type capacityFactor struct{ logarithm, factor float64 }

// newCapacityFactor returns the factor 1.
func newCapacityFactor() capacityFactor { return capacityFactor{factor: 1} }

// adjust adds a step to the logarithm of the factor, after it moves the logarithm towards 0. gain is the
// weight of the sample that caused the step.
func (f *capacityFactor) adjust(step, gain float64) {
	f.set(clamp(f.logarithm*(1-capacityRegression*gain)+step, -maxCapacityLog, maxCapacityLog))
}

func (f *capacityFactor) set(logarithm float64) {
	f.logarithm = logarithm
	f.factor = exponential(logarithm)
}

// capacityLearner computes the steps of capacity factors from latencies. It subtracts the mean step, because
// a change that all endpoints have in common is a change of load, not of capacity.
type capacityLearner struct {
	updates  float64 // number of steps; exported with the learned state, but not used in decisions
	meanStep float64 // recent mean step
}

// step returns the step of the capacity factors for one latency. latencyRatio is the latency relative to the
// mean of its class, and gain is the weight of the sample.
func (l *capacityLearner) step(latencyRatio, gain float64) float64 {
	step := max(minCapacityStep, 1-latencyRatio)
	l.updates++
	l.meanStep += gain * (step - l.meanStep) * meanStepGain
	return gain * (step - l.meanStep)
}

// learnCapacity adjusts the capacity factors of an endpoint, its machine type and its zone, so that all
// endpoints respond equally fast. latencyRatio is the latency relative to the mean of its class. Endpoints in
// slow start are ignored, because they are slow for another reason.
func (b *Balancer) learnCapacity(ep *endpoint, latencyRatio float64) {
	if b.inSlowStart(ep) {
		return
	}
	b.decayResponseCounts()
	gain := b.averagingGain()
	step := b.capacity.step(latencyRatio, gain)
	ep.ownCapacity.adjust(step*ownCapacityGain, gain)
	ep.machineType.adjust(step, gain)
	ep.zone.capacity.adjust(step*ownCapacityGain, gain)
}
