//go:build faults

package fault

import (
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// EnvClock is the environment variable with the path of a file that holds how far the wall clock is stepped, as
// time.ParseDuration reads it.
const EnvClock = "CINDERSADDLE_CLOCK_STEP_FILE"

// clockStep is how far the wall clock was stepped, in nanoseconds, where EnvClock is not set.
var clockStep atomic.Int64

// SetClockStep steps the wall clock.
func SetClockStep(step time.Duration) { clockStep.Store(int64(step)) }

// ClockStep returns how far the wall clock was stepped.
func ClockStep() time.Duration {
	path := os.Getenv(EnvClock)
	if path == "" {
		return time.Duration(clockStep.Load())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	step, _ := time.ParseDuration(strings.TrimSpace(string(text)))
	return step
}
