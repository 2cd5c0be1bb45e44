package standin

import (
	"time"

	"cindersaddle/balance"
)

// EndpointChange is a change of an endpoint's list entry that discovery delivered to its sidecar.
type EndpointChange struct {
	EndpointID string
	State      balance.EndpointState
	ReadableAt time.Time // earliest time at which the sidecar can read the change
	NotifiedAt time.Time // time from which the sidecar counts as notified of the change; not before ReadableAt
}
