package eventloop

import (
	"cindersaddle/balance"
	"cindersaddle/internal/membership"
	"cindersaddle/internal/upstream"
)

// resendEndpoints passes the endpoints of the table to the balancer again, after their zones or machine types got other
// indexes.
func (l *Loop) resendEndpoints() {
	update := balance.EndpointUpdate{Kind: balance.UpdateDelta}
	for _, endpoint := range l.endpoints.sorted() {
		update.Endpoints = append(update.Endpoints, l.toBalancerEndpoint(endpoint, &endpoint.Listed))
	}
	l.notifyBalancer(update)
}

// toBalancerEndpoint returns a listed endpoint in the balancer's form.
func (l *Loop) toBalancerEndpoint(endpoint *upstream.Endpoint, listed *membership.Endpoint) balance.Endpoint {
	return balance.Endpoint{
		ID:          endpoint.ID,
		State:       listed.State(),
		StartedAt:   endpoint.StartedAt,
		Rating:      listed.Rating,
		Cell:        listed.Cell,
		Zone:        indexOrUnknown(l.cfg.ZoneIndex, listed.Zone),
		MachineType: indexOrUnknown(l.cfg.MachineTypeIndex, listed.MachineType),
	}
}

// indexOrUnknown returns the index of a name. All names that the configuration does not have share the index after its last.
func indexOrUnknown(known map[string]int, name string) int {
	if index, ok := known[name]; ok {
		return index
	}
	return len(known)
}
