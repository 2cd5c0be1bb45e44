package balance

// durationEstimate holds the recent mean of durations and their mean absolute deviation.
type durationEstimate struct {
	mean      Milliseconds
	deviation Milliseconds
	samples   float64 // number of samples, up to averagingSamples
}

// record adds a duration. The first samples have equal weights.
func (e *durationEstimate) record(duration Milliseconds) {
	e.samples = min(e.samples+1, averagingSamples)
	difference := duration - e.mean
	e.mean += difference / Milliseconds(e.samples)
	if e.samples > 1 { // the first sample does not deviate
		e.deviation += (difference.abs() - e.deviation) / Milliseconds(e.samples)
	}
}
