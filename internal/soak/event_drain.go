package soak

import (
	"fmt"
	"time"

	"cindersaddle/internal/standin"
)

// DrainEndpoint lists an endpoint as draining, and as gone after a length of time.
type DrainEndpoint struct {
	Endpoint EndpointID
	Length   time.Duration
}

func (a DrainEndpoint) String() string {
	return fmt.Sprintf("drain of endpoint %s for %v", a.Endpoint, a.Length)
}

func (a DrainEndpoint) brokenConnections() (EndpointID, time.Duration) { return a.Endpoint, a.Length }

func (a DrainEndpoint) carryOut(r *run) {
	endpoint := r.endpoint(a.Endpoint)
	r.setPhase(endpoint, standin.PhaseDraining)
	time.Sleep(a.Length)
	r.setPhase(endpoint, standin.PhaseGone)
}

// setPhase has the discovery of each sidecar list an endpoint in another phase.
func (r *run) setPhase(endpoint *endpoint, phase string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint.listEntry.Phase = phase
	for _, sidecar := range r.sidecars {
		sidecar.discovery.Set(endpoint.listEntry)
	}
}
