package soak

import (
	"syscall"
	"time"

	"cindersaddle/internal/standin"
)

// Process is a running process of a sidecar. standin.Process implements it.
type Process interface {
	// Signal sends a signal to the process.
	Signal(syscall.Signal) error
	// Wait waits until the process has ended and returns the error of its exit. If the timeout passes first, it returns
	// false.
	Wait(timeout time.Duration) (ended bool, exit error)
	// Kill kills the process and waits for its end.
	Kill()
	// WriteConfig replaces the configuration file of the process.
	WriteConfig(standin.ProcessConfig) error
	// LogLines returns the lines of the process's log that contain text.
	LogLines(text string) []string
}

// Launcher starts a process of a sidecar with a configuration, a directory for its files, and additional environment
// variables of the form "key=value". It returns when the process is ready, or with an error if that does not happen in
// time.
type Launcher func(config standin.ProcessConfig, dir string, environment ...string) (Process, error)

// The environment variables of package fault. Only builds for tests read them.
const (
	envFaults    = "CINDERSADDLE_FAULTS"
	envClockStep = "CINDERSADDLE_CLOCK_STEP_FILE"
)

// environment returns the additional environment variables that the sidecars need for the faults of the plan.
func (r *run) environment() []string {
	if !r.plan.SystemCallFaults.enabled() {
		return nil
	}
	return []string{envFaults + "=" + r.plan.SystemCallFaults.Spec, envClockStep + "=" + r.clockStepPath()}
}
