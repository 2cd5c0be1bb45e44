package soak

import (
	"fmt"
	"time"
)

// PartitionEndpoint discards all traffic of an endpoint for a length of time, and then resets its connections.
type PartitionEndpoint struct {
	Endpoint EndpointID
	Length   time.Duration
}

func (a PartitionEndpoint) String() string {
	return fmt.Sprintf("partition of endpoint %s for %v", a.Endpoint, a.Length)
}

func (a PartitionEndpoint) brokenConnections() (EndpointID, time.Duration) {
	return a.Endpoint, a.Length
}

func (a PartitionEndpoint) carryOut(r *run) {
	proxy := r.endpoint(a.Endpoint).proxy
	proxy.Partition()
	time.Sleep(a.Length)
	proxy.Heal()
	proxy.ResetAll()
}
