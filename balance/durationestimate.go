package balance

// DurationEstimate holds the recent mean of durations and their mean absolute deviation. The zero value has
// no samples.
type DurationEstimate struct {
	mean      Milliseconds
	deviation Milliseconds
	samples   float64 // number of samples, up to averagingSamples
}

// Record adds a duration. The first samples have equal weights.
func (e *DurationEstimate) Record(duration Milliseconds) {
	e.samples = min(e.samples+1, averagingSamples)
	difference := duration - e.mean
	e.mean += difference / Milliseconds(e.samples)
	if e.samples > 1 { // the first sample does not deviate
		e.deviation += (difference.abs() - e.deviation) / Milliseconds(e.samples)
	}
}

// Usual returns a duration that most do not exceed, or 0 without samples.
func (e *DurationEstimate) Usual() Milliseconds { return e.mean + e.deviation }
