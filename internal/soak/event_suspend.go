package soak

import (
	"fmt"
	"syscall"
	"time"
)

// SuspendSidecar gives the process of a sidecar no processor time for a length of time.
type SuspendSidecar struct {
	Sidecar SidecarID
	Length  time.Duration
}

func (a SuspendSidecar) String() string {
	return fmt.Sprintf("suspension of sidecar %s for %v", a.Sidecar, a.Length)
}

func (a SuspendSidecar) carryOut(r *run) {
	process := r.currentProcess(r.sidecar(a.Sidecar))
	process.Signal(syscall.SIGSTOP)
	time.Sleep(a.Length)
	process.Signal(syscall.SIGCONT)
}
