package sidecartest

import (
	"fmt"

	"cindersaddle/internal/membership"
)

// ReadyEndpoint returns the list entry of an endpoint in phase ready at an address.
func ReadyEndpoint(id, addr string) membership.Endpoint {
	return membership.Endpoint{
		ID:       id,
		HostPort: addr,
		Locality: "room-1",
		Flavor:   "small",
		Cell:     1,
		Phase:    "ready",
		Size:     1,
	}
}

// DrainingEndpoint returns the list entry of an endpoint that drains.
func DrainingEndpoint(id, addr string) membership.Endpoint {
	endpoint := ReadyEndpoint(id, addr)
	endpoint.Phase = "draining"
	return endpoint
}

// CompleteList returns a list of all endpoints.
func CompleteList(revision int64, endpoints ...membership.Endpoint) membership.EndpointList {
	return membership.EndpointList{Revision: revision, Complete: true, Members: endpoints}
}

// ListUpdate returns a list of the endpoints that changed.
func ListUpdate(revision int64, endpoints ...membership.Endpoint) membership.EndpointList {
	return membership.EndpointList{Revision: revision, Members: endpoints}
}

// idFactor is a prime that spreads the numbers of endpoints over the digits of their IDs.
const idFactor = 2654435761

// NumberedEndpoints returns a list of count endpoints at one address, with IDs of the usual length.
func NumberedEndpoints(count int, addr string) membership.EndpointList {
	list := CompleteList(42)
	for i := range count {
		endpoint := ReadyEndpoint(fmt.Sprintf("s-%08x", i*idFactor), addr)
		endpoint.Cell = i / 2
		endpoint.Locality = fmt.Sprintf("room-%d", 1+i%2)
		list.Members = append(list.Members, endpoint)
	}
	return list
}
