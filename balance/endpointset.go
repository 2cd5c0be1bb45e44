package balance

import (
	"cmp"
	"slices"
)

// endpointSet holds the listed endpoints, and the state that the endpoints of a machine type or a zone share.
// This shared state is kept when the last endpoint of the machine type or zone is removed.
type endpointSet struct {
	list         []*endpoint // sorted by ID
	byID         map[EndpointID]*endpoint
	machineTypes map[int]*capacityFactor
	zones        map[int]*zone
}

// newEndpointSet returns an empty set.
func newEndpointSet() endpointSet {
	return endpointSet{
		byID:         map[EndpointID]*endpoint{},
		machineTypes: map[int]*capacityFactor{},
		zones:        map[int]*zone{},
	}
}

// ensureMachineType returns the capacity factor of a machine type. It adds the machine type if it is new.
func (s *endpointSet) ensureMachineType(number int) *capacityFactor {
	if s.machineTypes[number] == nil {
		factor := newCapacityFactor()
		s.machineTypes[number] = &factor
	}
	return s.machineTypes[number]
}

// ensureZone returns a zone. It adds the zone if it is new.
func (s *endpointSet) ensureZone(number int) *zone {
	if s.zones[number] == nil {
		s.zones[number] = &zone{capacity: newCapacityFactor(), number: number}
	}
	return s.zones[number]
}

// ensureEndpoint returns the endpoint with the given ID. It adds the endpoint if it is new.
func (s *endpointSet) ensureEndpoint(id EndpointID, classCount int) *endpoint {
	ep := s.byID[id]
	if ep == nil {
		ep = newEndpoint(classCount)
		s.byID[id] = ep
		s.list = append(s.list, ep)
	}
	return ep
}

// markUnlistedGone marks all endpoints as gone that a complete endpoint list does not contain.
func (s *endpointSet) markUnlistedGone(entries []Endpoint) {
	listed := make(map[EndpointID]bool, len(entries))
	for i := range entries {
		listed[entries[i].ID] = true
	}
	for _, ep := range s.list {
		if !listed[ep.ID] {
			ep.State = Gone
		}
	}
}

// removeGone removes the endpoints that are gone and sorts the remaining ones by ID.
func (s *endpointSet) removeGone() {
	s.list = slices.DeleteFunc(s.list, func(ep *endpoint) bool {
		if ep.State == Gone {
			delete(s.byID, ep.ID)
		}
		return ep.State == Gone
	})
	slices.SortFunc(s.list, func(left, right *endpoint) int { return cmp.Compare(left.ID, right.ID) })
}

// onEndpointUpdate applies an endpoint list from discovery, or schedules the next poll after a failure.
func (b *Balancer) onEndpointUpdate(ev EndpointUpdate) {
	if ev.Kind == UpdateFailed {
		b.retryPoll()
		return
	}
	if ev.Kind != UpdateDelta {
		b.endpoints.markUnlistedGone(ev.Endpoints)
	}
	if ev.Kind != UpdateCachedSnapshot {
		b.polling.resetBackoff()
	}
	for i := range ev.Endpoints {
		entry := &ev.Endpoints[i]
		if entry.State != Gone || b.endpoints.byID[entry.ID] != nil {
			b.updateEndpoint(entry)
		}
	}
	b.endpoints.removeGone()
}

// updateEndpoint applies one entry of the endpoint list. If the endpoint has restarted, its errors are
// cleared and its slow start begins.
func (b *Balancer) updateEndpoint(entry *Endpoint) {
	ep := b.endpoints.ensureEndpoint(entry.ID, len(b.cfg.Classes))
	if entry.StartedAt > ep.StartedAt {
		ep.outlier.clearErrors()
		b.startSlowStart(ep, entry.StartedAt)
	}
	ep.Endpoint = *entry
	ep.machineType = b.endpoints.ensureMachineType(ep.MachineType)
	ep.zone = b.endpoints.ensureZone(ep.Zone)
}

// UnavailableCount returns the number of listed endpoints that are unavailable at the given time: they are
// draining, ejected or in a zone outage, or their last health check failed.
func (b *Balancer) UnavailableCount(now Milliseconds) int {
	count := 0
	for _, ep := range b.endpoints.list {
		if ep.State != Ready || ep.outlier.ejected(now) || ep.zone.inOutage || ep.outlier.healthCheckFailed {
			count++
		}
	}
	return count
}
