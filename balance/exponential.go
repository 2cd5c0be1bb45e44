package balance

import "math"

// exponential returns e to the power of x. Unlike math.Exp, which is written in assembly for some processors,
// it returns the same bits on all of them, so that all sidecars of a fleet decide alike.
func exponential(x float64) float64 { return 1 + math.Expm1(x) }

// logarithm returns the natural logarithm of x, which must not be negative. It returns the same bits on all
// processors; see exponential.
func logarithm(x float64) float64 {
	fraction, exponent := math.Frexp(x)
	return float64(exponent)*math.Ln2 + math.Log1p(fraction-1)
}
