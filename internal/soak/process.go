package soak

import (
	"syscall"
	"time"

	"cindersaddle/internal/standin"
)

// Process is a running process of a sidecar; standin.Process is one.
type Process interface {
	Signal(syscall.Signal) error
	// Wait waits until the process has ended and returns the error of its exit, or until a timeout and returns false.
	Wait(timeout time.Duration) (ended bool, exit error)
	// Kill ends the process and waits for its end.
	Kill()
	WriteConfig(standin.ProcessConfig) error
	// LogLines returns the lines of the log that contain a text.
	LogLines(text string) []string
}

// Launcher starts a process of a sidecar with a configuration, a directory for its files and additional environment variables
// of the form "key=value". It returns when the process is ready, or an error if it is not in time.
type Launcher func(config standin.ProcessConfig, dir string, environment ...string) (Process, error)

// The environment variables of package fault, which is in builds for tests only.
const (
	envFaults    = "CINDERSADDLE_FAULTS"
	envClockStep = "CINDERSADDLE_CLOCK_STEP_FILE"
)

// environment returns the environment variables that the plan adds to those of a sidecar.
func (r *run) environment() []string {
	if !r.plan.SystemCallFaults.enabled() {
		return nil
	}
	return []string{envFaults + "=" + r.plan.SystemCallFaults.Spec, envClockStep + "=" + r.clockStepPath()}
}
