package soak

import (
	"fmt"
	"syscall"
	"time"
)

// SuspendSidecar gives the process of a sidecar no processor time for a length of time.
type SuspendSidecar struct {
	Sidecar  SidecarID
	Duration time.Duration
}

func (a SuspendSidecar) String() string {
	return fmt.Sprintf("suspension of sidecar %s for %v", a.Sidecar, a.Duration)
}

func (a SuspendSidecar) execute(r *run) {
	process := r.currentProcess(r.sidecar(a.Sidecar))
	process.Signal(syscall.SIGSTOP)
	time.Sleep(a.Duration)
	process.Signal(syscall.SIGCONT)
}
