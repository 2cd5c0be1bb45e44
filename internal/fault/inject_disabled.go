//go:build !faults

package fault

import "time"

// Enabled reports whether faults can be injected.
const Enabled = false

// InjectedError returns nil: without the build tag "faults" no error is injected.
func InjectedError(Call) error { return nil }

// TransferLimit returns n: without the build tag "faults" reads and writes are not shortened.
func TransferLimit(_ Call, n int) int { return n }

// ClockStep returns 0: without the build tag "faults" the wall clock is not stepped.
func ClockStep() time.Duration { return 0 }
