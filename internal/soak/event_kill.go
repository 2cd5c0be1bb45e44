package soak

import (
	"fmt"
	"time"
)

// KillSidecar ends the process of a sidecar by SIGKILL and starts another one.
type KillSidecar struct{ Sidecar SidecarID }

func (a KillSidecar) String() string { return fmt.Sprintf("SIGKILL to sidecar %s", a.Sidecar) }

func (a KillSidecar) carryOut(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	ending, ok := r.beginEnd(sidecar)
	if !ok {
		return
	}
	r.mark(&ending.incarnation.KilledAt)
	ending.process.Kill()
	r.mark(&ending.incarnation.EndedAt)
	r.restartSidecar(sidecar)
}

// mark sets a time of an incarnation to now.
func (r *run) mark(at *time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*at = time.Now()
}
