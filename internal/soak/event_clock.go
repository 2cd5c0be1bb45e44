package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// StepClock steps the wall clocks of all machines.
type StepClock struct{ Step time.Duration }

func (a StepClock) String() string { return fmt.Sprintf("clock step by %v", a.Step) }

// execute replaces the file as a whole, so that no sidecar reads a part of it.
func (a StepClock) execute(r *run) {
	r.clockStep.Store(int64(a.Step))
	path := r.clockStepPath()
	if os.WriteFile(path+".part", []byte(a.Step.String()), 0o600) == nil {
		os.Rename(path+".part", path)
	}
}

// clockStepPath returns the path of the file in which the sidecars look for the step of their clock.
func (r *run) clockStepPath() string { return filepath.Join(r.dir, "clockstep") }
