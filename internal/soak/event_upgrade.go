package soak

import (
	"fmt"
	"time"
)

// upgradeNotificationDelay is the time from when a successor is ready until it counts as notified of the endpoint list.
const upgradeNotificationDelay = 2 * time.Second

// UpgradeSidecar starts a successor beside the process of a sidecar, and terminates the predecessor when the successor
// is ready.
type UpgradeSidecar struct{ Sidecar SidecarID }

func (a UpgradeSidecar) String() string { return fmt.Sprintf("upgrade of sidecar %s", a.Sidecar) }

func (a UpgradeSidecar) execute(r *run) {
	sidecar := r.sidecar(a.Sidecar)
	predecessor, ok := r.reserveTermination(sidecar)
	if !ok {
		return
	}
	startedAt := time.Now()
	successor, err := r.launchProcess(sidecar)
	if err != nil {
		r.recordStartError(err)
	} else {
		r.addIncarnation(sidecar, &Incarnation{
			Sidecar: sidecar.id, StartedAt: startedAt, NotifiedAfter: time.Now().Add(upgradeNotificationDelay),
		})
		r.setProcess(sidecar, successor)
		r.terminate(predecessor)
	}
	r.releaseTermination(sidecar)
}
