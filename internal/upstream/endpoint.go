package upstream

import (
	"sync/atomic"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// Endpoint is where attempts and health checks are sent to. The event loop creates and changes it; attempts read only the
// atomic fields and Name.
type Endpoint struct {
	ID   balance.EndpointID
	Name string // its ID in the endpoint list; does not change

	// The fields below are the event loop's.

	StartedAt balance.Milliseconds // when it last started, on the loop's clock; 0: long ago
	Listed    membership.Endpoint  // as last listed

	// Address is replaced by another pointer with each new address and each restart of the endpoint: connections with
	// an earlier pointer are stale.
	Address atomic.Pointer[string]
	// Closed is set while it is draining or gone: nothing new may be sent to it.
	Closed atomic.Bool
}
