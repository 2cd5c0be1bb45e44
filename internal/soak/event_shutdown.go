package soak

import (
	"fmt"
	"syscall"
	"time"
)

const (
	// maxShutdownDeadline bounds the longest deadline that the SIGKILL after a SIGTERM waits for. It is
	// exchange.MaxShutdownDeadline, stated again so that a wrong value there fails a run.
	maxShutdownDeadline = 3 * time.Second
	// killDelay is how long the SIGKILL waits beyond that: the platform's delay. The sidecar ends its work a little earlier, after
	// the killMargin of package exchange.
	killDelay = 700 * time.Millisecond
)

// ShutdownSidecar sends SIGTERM to the process of a sidecar, SIGKILL at the earliest moment allowed if it still runs then, and
// starts another process.
type ShutdownSidecar struct{ Sidecar SidecarID }

func (a ShutdownSidecar) String() string { return fmt.Sprintf("shutdown of sidecar %s", a.Sidecar) }

func (a ShutdownSidecar) carryOut(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	ending, ok := r.beginEnd(sidecar)
	if !ok {
		return
	}
	r.terminate(ending)
	r.restartSidecar(sidecar)
}

// terminate sends SIGTERM to a process, and SIGKILL at the earliest moment allowed if it still runs then.
func (r *run) terminate(ending endingProcess) {
	r.mu.Lock()
	ending.incarnation.TermAt = time.Now()
	r.mu.Unlock()
	ending.process.Signal(syscall.SIGTERM)
	ended, exit := ending.process.Wait(min(r.plan.Settings.longestDeadline(), maxShutdownDeadline) + killDelay)
	r.mu.Lock()
	now := time.Now()
	if !ended {
		ending.incarnation.KilledAt = now
	} else if exit != nil {
		ending.incarnation.Crash = fmt.Errorf("exit after SIGTERM: %w", exit)
	}
	ending.incarnation.EndedAt = now
	r.mu.Unlock()
	ending.process.Kill()
}
