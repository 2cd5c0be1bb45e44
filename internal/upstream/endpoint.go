package upstream

import (
	"sync/atomic"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// Endpoint is a server that attempts and health checks are sent to. The event loop creates and changes it; attempts and
// health checks read only the atomic fields and Name.
type Endpoint struct {
	ID   balance.EndpointID
	Name string // its identifier in the endpoint list; immutable

	// The event loop owns the next two fields.

	StartedAt balance.Milliseconds // when it last started, on the event loop's clock; 0 if long ago
	ListEntry membership.Endpoint  // its entry in the latest endpoint list that contained it

	// Address gets a new pointer when the endpoint moves to a new address and whenever it restarts. Connections that were
	// opened with a previous pointer are stale.
	Address atomic.Pointer[string]
	// Closed is set while the endpoint is draining or gone: no new attempts or health checks may be sent to it.
	Closed atomic.Bool
}
