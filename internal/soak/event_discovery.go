package soak

import (
	"fmt"
	"time"

	"cindersaddle/internal/standin"
)

// DiscoveryOutage has the discovery agents of all sidecars respond to nothing for a length of time.
type DiscoveryOutage struct{ Length time.Duration }

func (a DiscoveryOutage) String() string { return fmt.Sprintf("discovery outage for %v", a.Length) }

func (a DiscoveryOutage) carryOut(r *run) {
	r.eachDiscovery((*standin.Discovery).BeginOutage)
	time.Sleep(a.Length)
	r.eachDiscovery((*standin.Discovery).EndOutage)
}

// eachDiscovery calls a method of the discovery agent of each sidecar.
func (r *run) eachDiscovery(call func(*standin.Discovery)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, sidecar := range r.sidecars {
		call(sidecar.discovery)
	}
}
