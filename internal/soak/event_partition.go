package soak

import (
	"fmt"
	"time"
)

// PartitionEndpoint discards all traffic to and from an endpoint for a limited time, and then resets its connections.
type PartitionEndpoint struct {
	Endpoint EndpointID
	Duration time.Duration
}

func (a PartitionEndpoint) String() string {
	return fmt.Sprintf("partition of endpoint %s for %v", a.Endpoint, a.Duration)
}

func (a PartitionEndpoint) brokenConnections() (EndpointID, time.Duration) {
	return a.Endpoint, a.Duration
}

func (a PartitionEndpoint) execute(r *run) {
	proxy := r.endpoint(a.Endpoint).proxy
	proxy.Partition()
	time.Sleep(a.Duration)
	proxy.Heal()
	proxy.ResetAll()
}
