package soak

import (
	"fmt"
	"time"
)

// KillSidecar kills the process of a sidecar with SIGKILL and starts another one.
type KillSidecar struct{ Sidecar SidecarID }

func (a KillSidecar) String() string { return fmt.Sprintf("SIGKILL to sidecar %s", a.Sidecar) }

func (a KillSidecar) execute(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	terminating, ok := r.reserveTermination(sidecar)
	if !ok {
		return
	}
	r.recordTime(&terminating.incarnation.KilledAt)
	terminating.process.Kill()
	r.recordTime(&terminating.incarnation.EndedAt)
	r.restartSidecar(sidecar)
}

// recordTime sets a time of an incarnation to the current time.
func (r *run) recordTime(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}
