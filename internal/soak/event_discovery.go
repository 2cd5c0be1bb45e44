package soak

import (
	"fmt"
	"time"

	"cindersaddle/internal/standin"
)

// DiscoveryOutage stops the discovery agents of all sidecars from responding for a limited time.
type DiscoveryOutage struct{ Duration time.Duration }

func (a DiscoveryOutage) String() string { return fmt.Sprintf("discovery outage for %v", a.Duration) }

func (a DiscoveryOutage) execute(r *run) {
	r.forEachDiscovery((*standin.Discovery).BeginOutage)
	time.Sleep(a.Duration)
	r.forEachDiscovery((*standin.Discovery).EndOutage)
}

// forEachDiscovery calls a function for the discovery agent of each sidecar.
func (r *run) forEachDiscovery(call func(*standin.Discovery)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sidecar := range r.sidecars {
		call(sidecar.discovery)
	}
}
