package soak

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// maxShutdownDeadline is the longest request deadline that the platform waits for between SIGTERM and SIGKILL. It
	// repeats the value of exchange.MaxShutdownDeadline, so that a wrong value there makes a run fail.
	maxShutdownDeadline = 3 * time.Second
	// killDelay is how long after that deadline the platform sends SIGKILL. The sidecar ends its work a little earlier:
	// at the shutdownMargin of package exchange after the deadline.
	killDelay = 700 * time.Millisecond
)

// ShutdownSidecar terminates the process of a sidecar with SIGTERM and starts another one.
type ShutdownSidecar struct{ Sidecar SidecarID }

func (a ShutdownSidecar) String() string { return fmt.Sprintf("shutdown of sidecar %s", a.Sidecar) }

func (a ShutdownSidecar) execute(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	terminating, ok := r.reserveTermination(sidecar)
	if !ok {
		return
	}
	r.terminate(terminating)
	r.restartSidecar(sidecar)
}

// terminate sends SIGTERM to a process. If the process is still running at the earliest time at which the platform may
// kill it, terminate sends SIGKILL.
func (r *run) terminate(terminating terminatingProcess) {
	r.mu.Lock()
	terminating.incarnation.TermAt = time.Now()
	r.mu.Unlock()
	terminating.process.Signal(syscall.SIGTERM)
	ended, exit := terminating.process.Wait(min(r.plan.Settings.longestDeadline(), maxShutdownDeadline) + killDelay)
	r.mu.Lock()
	now := time.Now()
	if !ended {
		terminating.incarnation.KilledAt = now
	} else if exit != nil {
		terminating.incarnation.Crash = fmt.Errorf("exit after SIGTERM: %w", exit)
	}
	terminating.incarnation.EndedAt = now
	r.mu.Unlock()
	terminating.process.Kill()
}
