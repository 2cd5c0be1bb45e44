package soak

import (
	"fmt"
	"time"
)

// ResetConnections resets all connections of an endpoint.
type ResetConnections struct {
	Endpoint EndpointID
	Duration time.Duration // how long the consequences of the resets do not count as violations
}

func (a ResetConnections) String() string {
	return fmt.Sprintf("reset of the connections of endpoint %s, excused for %v", a.Endpoint, a.Duration)
}

func (a ResetConnections) brokenConnections() (EndpointID, time.Duration) {
	return a.Endpoint, a.Duration
}

func (a ResetConnections) execute(r *run) { r.endpoint(a.Endpoint).proxy.ResetAll() }
