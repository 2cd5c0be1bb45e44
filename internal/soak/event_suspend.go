package soak

import (
	"fmt"
	"syscall"
	"time"
)

// SuspendSidecar stops the process of a sidecar with SIGSTOP and continues it after a limited time.
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
