package soak

import (
	"fmt"
	"time"
)

// KillSidecar ends the process of a sidecar by SIGKILL and starts another one.
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

// mark sets a time of an incarnation to now.
func (r *run) recordTime(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}
