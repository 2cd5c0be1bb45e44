package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// StepClock steps the wall clocks of all machines. The clocks then differ from the real time by Step.
type StepClock struct{ Step time.Duration }

func (a StepClock) String() string { return fmt.Sprintf("clock step by %v", a.Step) }

// execute replaces the file by a rename, so that no sidecar reads a partly written file.
func (a StepClock) execute(r *run) {
	r.clockStep.Store(int64(a.Step))
	path := r.clockStepPath()
	if os.WriteFile(path+".part", []byte(a.Step.String()), 0o600) == nil {
		os.Rename(path+".part", path)
	}
}

// clockStepPath returns the path of the file from which the sidecars read the step of their clock.
func (r *run) clockStepPath() string { return filepath.Join(r.dir, "clockstep") }
