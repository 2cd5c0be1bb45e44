package standin

import (
	"time"

	"cindersaddle/balance"
)

// The phases of an endpoint on the wire of discovery.
const (
	PhaseReady    = "ready"
	PhaseDraining = "draining"
	PhaseGone     = "gone"
)

// EndpointChange is a change of an endpoint's list entry that discovery delivered to its sidecar.
type EndpointChange struct {
	EndpointID string
	State      balance.EndpointState
	ReadableAt time.Time // when the sidecar could read it at the earliest
	NotifiedAt time.Time // when the sidecar counts as notified of it; not before ReadableAt
}
