//go:build faults

package fault

import (
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// ClockStepFileEnvVar is the environment variable with the path of a file that holds the step of the wall clock, in the
// format of time.ParseDuration.
const ClockStepFileEnvVar = "CINDERSADDLE_CLOCK_STEP_FILE"

// configuredClockStep is the step of the wall clock in nanoseconds. It applies if ClockStepFileEnvVar is not set.
var configuredClockStep atomic.Int64

// SetClockStep sets the step of the wall clock. It has no effect if ClockStepFileEnvVar is set.
func SetClockStep(step time.Duration) { configuredClockStep.Store(int64(step)) }

// ClockStep returns the duration to add to readings of the wall clock. It is 0 if the file of ClockStepFileEnvVar
// cannot be read or parsed.
func ClockStep() time.Duration {
	path := os.Getenv(ClockStepFileEnvVar)
	if path == "" {
		return time.Duration(configuredClockStep.Load())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	step, _ := time.ParseDuration(strings.TrimSpace(string(text)))
	return step
}
