package soak

import (
	"fmt"
	"time"

	"cindersaddle/internal/membership"
)

// DrainEndpoint lists an endpoint as draining for a limited time, and then as gone.
type DrainEndpoint struct {
	Endpoint EndpointID
	Duration time.Duration
}

func (a DrainEndpoint) String() string {
	return fmt.Sprintf("drain of endpoint %s for %v", a.Endpoint, a.Duration)
}

func (a DrainEndpoint) brokenConnections() (EndpointID, time.Duration) { return a.Endpoint, a.Duration }

func (a DrainEndpoint) execute(r *run) {
	endpoint := r.endpoint(a.Endpoint)
	r.setPhase(endpoint, membership.PhaseDraining)
	time.Sleep(a.Duration)
	r.setPhase(endpoint, membership.PhaseGone)
}

// setPhase changes the phase of an endpoint in the lists of all discovery agents.
func (r *run) setPhase(endpoint *endpoint, phase membership.Phase) {
	r.mu.Lock()
	defer r.mu.Unlock()
	endpoint.listEntry.Phase = phase
	for _, sidecar := range r.sidecars {
		sidecar.discovery.SetEndpoint(endpoint.listEntry)
	}
}
