package balance

import (
	"math"
	"time"
)

// Milliseconds is a point in time or a duration, in milliseconds. A separate type prevents a rate or a ratio
// from being passed as a time. The caller chooses the epoch of points in time; it has to be the same for all
// sidecars, whose polls take turns by this time (timeUntilTurn). The sidecar uses the Unix epoch. The time
// must not decrease from one event to the next.
type Milliseconds float64

// Points in time before and after all others. A point in time that marks an event which has not happened yet
// has one of three values:
//   - 0 in most cases. It is taken to lie before all events.
//   - longAgo where the time since the event has to be infinite.
//   - never where the event has to lie in the future.
var (
	longAgo = Milliseconds(math.Inf(-1))
	never   = Milliseconds(math.Inf(1))
)

// MillisecondsOf converts a [time.Duration].
func MillisecondsOf(d time.Duration) Milliseconds {
	return Milliseconds(float64(d) / float64(time.Millisecond))
}

// Duration converts m to a [time.Duration], truncated to whole nanoseconds.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// scaled returns m multiplied by a factor.
func (m Milliseconds) scaled(factor float64) Milliseconds { return Milliseconds(float64(m) * factor) }

// abs returns the absolute value of m.
func (m Milliseconds) abs() Milliseconds { return Milliseconds(math.Abs(float64(m))) }

// ratio returns a duration as a multiple of a unit.
func ratio(duration, unit Milliseconds) float64 { return float64(duration / unit) }

// decay returns the remaining weight of a value after the elapsed time: 1/e after one time constant.
func decay(elapsed, timeConstant Milliseconds) float64 {
	return exponential(-ratio(elapsed, timeConstant))
}

// modulo returns the remainder of a point in time divided by a period.
func modulo(moment, period Milliseconds) Milliseconds {
	return Milliseconds(math.Mod(float64(moment), float64(period)))
}

// halfLifeDecay returns the remaining weight of a value after the elapsed time: 1/2 after one half-life.
func halfLifeDecay(elapsed, halfLife Milliseconds) float64 {
	return exponential(-math.Ln2 * float64(elapsed) / float64(halfLife))
}

// clamp limits value to [low, high].
func clamp[T ~float64](value, low, high T) T { return max(low, min(high, value)) }

// backoffFactor returns 2 to the power of count, but at most 2 to the power of maxDoublings.
func backoffFactor(count, maxDoublings int) float64 {
	return float64(int(1) << min(count, maxDoublings))
}
