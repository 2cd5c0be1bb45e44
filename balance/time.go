package balance

import (
	"math"
	"time"
)

// Milliseconds is a point in time or a span of time, in milliseconds. It is a type of its own, so that a rate
// or a ratio cannot be passed as a time. The caller chooses the epoch of points in time; they must not
// decrease.
type Milliseconds float64

// Points in time before and after all others.
var (
	longAgo = Milliseconds(math.Inf(-1))
	never   = Milliseconds(math.Inf(1))
)

// MillisecondsOf converts a duration to a span of time.
func MillisecondsOf(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// Duration converts a span of time, cut to whole nanoseconds.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// scaled returns a span of time multiplied by a factor.
func (m Milliseconds) scaled(factor float64) Milliseconds { return Milliseconds(float64(m) * factor) }

// abs returns the length of a span of time.
func (m Milliseconds) abs() Milliseconds { return Milliseconds(math.Abs(float64(m))) }

// ratio returns one span of time as a multiple of another.
func ratio(span, unit Milliseconds) float64 { return float64(span / unit) }

// decay returns the weight that is left of a value after the elapsed time: 1/e after one time constant.
func decay(elapsed, timeConstant Milliseconds) float64 {
	return math.Exp(-ratio(elapsed, timeConstant))
}

// modulo returns the remainder of a point in time in a period.
func modulo(moment, period Milliseconds) Milliseconds {
	return Milliseconds(math.Mod(float64(moment), float64(period)))
}

// halved returns the weight that is left of a value after the elapsed time, which halves in each half-life.
func halved(elapsed, halfLife Milliseconds) float64 {
	return math.Exp(-math.Ln2 * float64(elapsed) / float64(halfLife))
}

// clamp returns the value within [low, high] that is nearest to value.
func clamp[T ~float64](value, low, high T) T { return max(low, min(high, value)) }

// backoffFactor returns 2 to the power of count, with a limited number of doublings.
func backoffFactor(count, maxDoublings int) float64 {
	return float64(int(1) << min(count, maxDoublings))
}
