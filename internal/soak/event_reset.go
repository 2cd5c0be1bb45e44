package soak

import (
	"fmt"
	"time"
)

// ResetConnections resets all connections of an endpoint.
type ResetConnections struct {
	Endpoint EndpointID
	Length   time.Duration // how long the consequences of the resets are excused
}

func (a ResetConnections) String() string {
	return fmt.Sprintf("reset of the connections of endpoint %s, excused for %v", a.Endpoint, a.Length)
}

func (a ResetConnections) brokenConnections() (EndpointID, time.Duration) {
	return a.Endpoint, a.Length
}

func (a ResetConnections) carryOut(r *run) { r.endpoint(a.Endpoint).proxy.ResetAll() }
