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

func (a ShutdownSidecar) execute(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	terminating, ok := r.reserveTermination(sidecar)
	if !ok {
		return
	}
	r.terminate(terminating)
	r.restartSidecar(sidecar)
}

// terminate sends SIGTERM to a process, and SIGKILL at the earliest moment allowed if it still runs then.
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
