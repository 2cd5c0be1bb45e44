//go:build !faults

package fault

import "time"

// Enabled reports whether faults can be injected.
const Enabled = false

// Injected returns the error that a call has to fail with, or nil.
func Injected(Call) error { return nil }

// Shortened returns how many of n bytes one call may transfer.
func Shortened(_ Call, n int) int { return n }

// ClockStep returns how far the wall clock was stepped.
func ClockStep() time.Duration { return 0 }
