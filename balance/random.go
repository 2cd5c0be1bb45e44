package balance

// splitMixIncrement is the increment of the splitmix64 generator: 2^64 divided by the golden ratio.
const splitMixIncrement = 0x9e3779b97f4a7c15

// splitMixMultiplier1 and splitMixMultiplier2 are the multipliers of the output function of splitmix64.
const (
	splitMixMultiplier1 = 0xbf58476d1ce4e5b9
	splitMixMultiplier2 = 0x94d049bb133111eb
)

// randomBits is the number of bits in a random number, which is the precision of a float64.
const randomBits = 53

// randomSource is a splitmix64 random number generator. The same seed gives the same numbers.
type randomSource struct{ state uint64 }

// next returns the next random number in [0, 1).
func (r *randomSource) next() float64 {
	r.state += splitMixIncrement
	return float64(splitMix(r.state)) / (1 << randomBits)
}

// jitter returns a random factor in [0.5, 1).
func (r *randomSource) jitter() float64 { return 0.5 + r.next()/2 }

// splitMix is the output function of splitmix64, truncated to randomBits.
func splitMix(state uint64) uint64 {
	state = (state ^ state>>30) * splitMixMultiplier1
	state = (state ^ state>>27) * splitMixMultiplier2
	return (state ^ state>>31) >> (64 - randomBits)
}
