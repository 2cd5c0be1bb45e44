package sidecartest

import (
	"fmt"

	"cindersaddle/internal/membership"
)

// ReadyEndpoint returns the list entry of an endpoint that is ready.
func ReadyEndpoint(id, addr string) membership.Endpoint {
	return membership.Endpoint{
		ID:          id,
		Address:     addr,
		Zone:        "room-1",
		MachineType: "small",
		Cell:        1,
		Phase:       "ready",
		Rating:      1,
	}
}

// DrainingEndpoint returns the list entry of an endpoint that is draining.
func DrainingEndpoint(id, addr string) membership.Endpoint {
	endpoint := ReadyEndpoint(id, addr)
	endpoint.Phase = "draining"
	return endpoint
}

// CompleteList returns an endpoint list that contains all endpoints.
func CompleteList(revision int64, endpoints ...membership.Endpoint) membership.EndpointList {
	return membership.EndpointList{Revision: revision, Complete: true, Endpoints: endpoints}
}

// ListUpdate returns an endpoint list that contains only the endpoints that changed.
func ListUpdate(revision int64, endpoints ...membership.Endpoint) membership.EndpointList {
	return membership.EndpointList{Revision: revision, Endpoints: endpoints}
}

const (
	// idMultiplier is a prime that makes the IDs of consecutive endpoint numbers differ in most digits.
	idMultiplier = 2654435761
	// numberedRevision is the revision of the lists that NumberedEndpoints returns.
	numberedRevision = 42
	// endpointsPerCell is the number of endpoints that share a cell.
	endpointsPerCell = 2
	// zoneCount is the number of zones to which the endpoints are assigned in turn.
	zoneCount = 2
)

// NumberedEndpoints returns a complete list of count endpoints at one address. The IDs are about as
// long as those of real endpoints: "s-" and at least 8 hexadecimal digits.
func NumberedEndpoints(count int, addr string) membership.EndpointList {
	list := CompleteList(numberedRevision)
	for i := range count {
		endpoint := ReadyEndpoint(fmt.Sprintf("s-%08x", i*idMultiplier), addr)
		endpoint.Cell = i / endpointsPerCell
		endpoint.Zone = fmt.Sprintf("room-%d", 1+i%zoneCount)
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list
}
