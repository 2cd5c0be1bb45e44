package upgrade

import (
	"cindersaddle/balance"
	"cindersaddle/internal/membership"
)

// encodedList is the encoded form of membership.EndpointList.
type encodedList struct {
	Revision int64
	Complete bool
	Members  []encodedListEntry // Endpoints
}

// encodedListEntry is the encoded form of membership.Endpoint.
type encodedListEntry struct {
	ID       string
	HostPort string // Address
	Locality string // Zone
	Flavor   string // MachineType
	Cell     int
	Phase    string
	Size     float64              // Rating
	UpSince  balance.Milliseconds // StartedAt
}

func encodeList(list *membership.EndpointList) encodedList {
	encoded := encodedList{Revision: list.Revision, Complete: list.Complete}
	for i := range list.Endpoints {
		encoded.Members = append(encoded.Members, encodeListEntry(&list.Endpoints[i]))
	}
	return encoded
}

func (l *encodedList) decode() membership.EndpointList {
	list := membership.EndpointList{Revision: l.Revision, Complete: l.Complete}
	for i := range l.Members {
		list.Endpoints = append(list.Endpoints, l.Members[i].decode())
	}
	return list
}

func encodeListEntry(endpoint *membership.Endpoint) encodedListEntry {
	return encodedListEntry{
		ID:       endpoint.ID,
		HostPort: endpoint.Address,
		Locality: endpoint.Zone,
		Flavor:   endpoint.MachineType,
		Cell:     endpoint.Cell,
		Phase:    string(endpoint.Phase),
		Size:     endpoint.Rating,
		UpSince:  endpoint.StartedAt,
	}
}

func (e *encodedListEntry) decode() membership.Endpoint {
	return membership.Endpoint{
		ID:          e.ID,
		Address:     e.HostPort,
		Zone:        e.Locality,
		MachineType: e.Flavor,
		Cell:        e.Cell,
		Phase:       membership.Phase(e.Phase),
		Rating:      e.Size,
		StartedAt:   e.UpSince,
	}
}
