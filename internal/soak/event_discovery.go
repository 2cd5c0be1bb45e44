package soak

import (
	"fmt"
	"time"

	"cindersaddle/internal/standin"
)

// DiscoveryOutage has the discovery agents of all sidecars respond to nothing for a length of time.
type DiscoveryOutage struct{ Duration time.Duration }

func (a DiscoveryOutage) String() string { return fmt.Sprintf("discovery outage for %v", a.Duration) }

func (a DiscoveryOutage) execute(r *run) {
	r.forEachDiscovery((*standin.Discovery).BeginOutage)
	time.Sleep(a.Duration)
	r.forEachDiscovery((*standin.Discovery).EndOutage)
}

// forEachDiscovery calls a method of the discovery agent of each sidecar.
func (r *run) forEachDiscovery(call func(*standin.Discovery)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sidecar := range r.sidecars {
		call(sidecar.discovery)
	}
}
