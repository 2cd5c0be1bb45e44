package upstream

import (
	"sync/atomic"

	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// Endpoint is one server as this package sees it. The event loop creates and changes it; attempts read only the atomic
// fields and Name.
type Endpoint struct {
	ID   balance.EndpointID
	Name string // the endpoint's ID in the list; does not change

	// The fields below are the event loop's.

	StartedAt balance.Milliseconds // when the server last started, on the loop's clock; 0: long ago
	Listed    membership.Endpoint  // as last listed

	// Address is replaced by another pointer with each new address and each restart of the server: connections with
	// an earlier pointer are stale.
	Address atomic.Pointer[string]
	// Closed is set while the server drains or is gone: nothing new may be sent to it.
	Closed atomic.Bool
}
